//go:build deps

// Package deps pins the libraries until each is imported by a package.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/Shopify/toxiproxy"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/klauspost/compress/zstd"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/pkg/errors"
	_ "github.com/quic-go/quic-go/http3"
	_ "golang.org/x/net/ipv4"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "gopkg.in/yaml.v3"
	_ "pgregory.net/rapid"
)
