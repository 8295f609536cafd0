// Package examples holds the example deployments, so that the rehearsal kit
// can use them without knowing where the repository is.
package examples

import "embed"

// Files holds FLEET/fleet.yaml and FLEET/load.yaml of every example fleet.
//
//go:embed */*.yaml
var Files embed.FS
