//go:build deps

// Package deps keeps the module's requirements in go.mod while the packages
// that use them are being written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/gorilla/websocket"
	_ "github.com/kataras/iris/v12"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "pgregory.net/rapid"
)
