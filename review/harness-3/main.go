// Command harness plays the scripted cases of the third review against processes of the program under test.
package main

import (
	"fmt"
	"os"
)

func main() {
	os.Exit(int(run(os.Args[1:])))
}

// run plays the case named by the first argument and writes what happened to the file named by the second.
func run(args []string) verdict {
	plays := map[string]func(*world) (verdict, error){
		"ending": playEnding, "many": playMany, "gaps": playGaps, "spot": playSpot, "fraction": playFraction, "full": playFull,
	}
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return failed
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	w, err := newWorld(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	v, err := plays[args[0]](w)
	if err != nil {
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	r.line("verdict: %d (0 held, 1 broken, 2 could not run)", v)
	return v
}
