// Command standin plays the cases of the review: it starts routers as processes, beside stand-ins of the
// platform, its servers and its clients.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(w *world, trouble bool) (held bool, err error){
	"crowd": playCrowd, "tokens": playTokens, "early": playEarly, "options": playOptions, "cut": playCut,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns its exit code.
func play(name, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	held, err := cases[name](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.note("not run: %v", err)
		return 2
	case held:
		w.note("the rule held")
		return 0
	}
	w.note("the rule was broken")
	return 1
}
