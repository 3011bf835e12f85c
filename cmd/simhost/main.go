// Command simhost hosts routers on the simulator's wire.
package main

import (
	"fmt"
	"os"

	"eiderway/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
