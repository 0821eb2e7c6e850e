package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/store/httpstore"
)

// outputFlags select the format of the output.
type outputFlags struct {
	Output string `long:"output" env:"SALTBEND_OUTPUT" default:"table" choice:"table" choice:"json" description:"form of the answer on standard output"`
}

func (o outputFlags) json() bool { return o.Output == "json" }

// storeFlags are the flags for access to the store.
type storeFlags struct {
	Store        []string      `long:"store" env:"SALTBEND_STORE" env-delim:"," value-name:"URL" description:"base URL of the platform's key-value service; may be repeated (required)"`
	StoreTimeout time.Duration `long:"store-timeout" env:"SALTBEND_STORE_TIMEOUT" default:"5s" description:"time for one call of the store"`
}

func (s storeFlags) open() (*httpstore.Client, error) {
	if len(s.Store) == 0 {
		return nil, errors.New("--store (SALTBEND_STORE) is missing; give the store's base URL")
	}
	return httpstore.New(s.Store, httpstore.Options{Timeout: s.StoreTimeout})
}

// fileArgument is the configuration file to read.
type fileArgument struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"configuration file; - reads standard input"`
	} `positional-args:"yes" required:"yes"`
}

// read returns the content of the file. It reads at most one byte more than the maximum
// size of a configuration, so that the parser can reject a file that is too large.
func (f fileArgument) read() ([]byte, error) {
	in := os.Stdin
	if f.Args.File != "-" {
		opened, err := os.Open(f.Args.File)
		if err != nil {
			return nil, errors.Wrap(err, "read the configuration")
		}
		defer opened.Close()
		in = opened
	}
	data, err := io.ReadAll(io.LimitReader(in, config.MaxFileBytes+1))
	return data, errors.Wrap(err, "read the configuration")
}

// printJSON prints v as indented JSON on standard output.
func printJSON(out streams, v any) {
	enc := json.NewEncoder(out.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		fmt.Fprintln(out.err, err)
	}
}

// fail prints the error and returns code.
func fail(out streams, err error, code int) int {
	fmt.Fprintln(out.err, err)
	return code
}
