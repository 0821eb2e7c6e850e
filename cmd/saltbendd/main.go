// Command saltbendd is the daemon of saltbend: one process of the fleet, in the
// role of a balancer or of an agent beside an upstream.
package main

import (
	"io"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	os.Exit(run(os.Args[1:], std{out: os.Stdout, err: os.Stderr}, signals))
}

// signalBuffer holds signals that come in while one is being handled.
const signalBuffer = 8

// std are the standard streams of the process.
type std struct {
	out, err io.Writer
}
