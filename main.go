// Command cowsliphinge is a router for prepaid token budgets; see README.md.
package main

import (
	"os"

	"cowsliphinge/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:]))
}
