// Command harness runs the scripts of the review. It starts the project's own
// programs as separate processes on loopback addresses, and plays clients, backend
// servers and the platform.
//
//	harness CASE FOLDER
//
// It writes record.txt into FOLDER and exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	held   = 0
	broken = 1
	unable = 2
)

var cases = map[string]func(*run) int{
	"repeated-rejection":  repeatedRejection,
	"forgotten-departure": forgottenDeparture,
	"early-expiry":        earlyExpiry,
	"many-bodies":         manyBodies,
	"lost-beginning":      lostBeginning,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(unable)
	}
	os.Exit(execute(cases[os.Args[1]], os.Args[2]))
}

func execute(f func(*run) int, folder string) (code int) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer file.Close()
	r := &run{started: time.Now(), record: file, trouble: os.Getenv("TROUBLE") != "0"}
	defer r.stop()
	defer func() {
		if v := recover(); v != nil {
			r.log("could not run: %v", v)
			fmt.Fprintln(os.Stderr, v)
			code = unable
		}
	}()
	r.log("disruption: %v", r.trouble)
	code = f(r)
	r.log("exit %d (0: the rule held, 1: it was broken, 2: could not run)", code)
	return code
}
