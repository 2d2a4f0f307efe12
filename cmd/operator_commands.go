package cmd

import "github.com/google/subcommands"

// operatorCommands returns the operators' subcommands on a console.
func operatorCommands(c console) []subcommands.Command {
	return []subcommands.Command{
		&validateCommand{console: c},
		&diffCommand{console: c},
		&applyCommand{console: c},
		&getCommand{console: c},
		&describeCommand{console: c},
		&topUpCommand{console: c},
		&billsCommand{console: c},
		&statusCommand{console: c},
		&moveCommand{console: c},
	}
}
