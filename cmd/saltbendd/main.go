// Command saltbendd is the daemon of saltbend: it runs one process of the fleet, either a
// balancer or an agent beside an upstream. The role balancer spreads the callers' flows
// over agents, which terminate their QUIC connections. The roles packet-balancer and
// packet-agent are those of the packet face, which passes packets to the upstreams without
// terminating connections and takes its settings from the users' platform.
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
	os.Exit(run(os.Args[1:], streams{out: os.Stdout, err: os.Stderr}, signals))
}

// signalBuffer is the number of signals that can wait while another one is handled.
const signalBuffer = 8

// streams are the standard output and the standard error of the process.
type streams struct {
	out, err io.Writer
}
