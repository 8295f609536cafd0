//go:build pin

// Package internal pins modules that are fetched ahead of their first use.
package internal

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/apex/log"
	_ "github.com/apex/log/handlers/json"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/gorilla/mux"
	_ "github.com/matryer/is"
	_ "github.com/pkg/errors"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/spf13/cobra"
	_ "github.com/spf13/cobra/doc"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/plotutil"
	_ "gonum.org/v1/plot/vg"
	_ "gopkg.in/yaml.v3"
	_ "pgregory.net/rapid"
)
