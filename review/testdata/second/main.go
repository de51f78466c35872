package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

func main() {
	program := flag.String("program", "target/bamboo", "the project's program")
	template := flag.String("template", "deploy/settings.jsonc", "the template of the settings")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	cases := map[string]func(context.Context, *site, bool) (int, error){"founding": founding, "herd": herd, "writer": writer, "reborn": reborn, "incomplete": incomplete}
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		os.Exit(cantRun)
	}
	f, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cantRun)
	}
	rec := &record{began: time.Now(), file: f}
	s, err := newSite(*program, *template, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cantRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, trouble %t", flag.Arg(0), trouble)
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	code, err := play(ctx, s, trouble)
	cancel()
	s.close()
	if err != nil {
		rec.logf("the case could not run: %v", err)
		code = cantRun
	}
	rec.logf("exit %d", code)
	f.Close()
	os.Exit(code)
}
