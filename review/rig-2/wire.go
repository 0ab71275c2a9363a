package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"net"
	"strings"
	"time"
)

// wireNames holds the names of the platform, which no Go file outside package platform
// contains.
//
//go:embed wire.json
var wireNames []byte

var replacer = newReplacer()

func newReplacer() *strings.Replacer {
	names := make(map[string]string)
	check(json.Unmarshal(wireNames, &names))
	var pairs []string
	for short, name := range names {
		pairs = append(pairs, "@"+short, name)
	}
	return strings.NewReplacer(pairs...)
}

// wire replaces the short names in a text by those of the platform.
func wire(text string) string { return replacer.Replace(text) }

// dial connects to an address as a client does, which allows one second for it.
func dial(address string) (net.Conn, error) {
	dialer := new(net.Dialer)
	dialer.Timeout = time.Second
	return dialer.Dial("tcp4", address)
}

func listen(address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp4", address)
}
