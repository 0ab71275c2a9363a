package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"net"
	"time"
)

// wireNames holds the names of the users' pages, which no Go file outside package platform
// contains.
//
//go:embed wire.json
var wireNames []byte

var (
	names  = decodeNames()
	prefix = names["prefix"] // of the header fields
)

func decodeNames() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(wireNames, &m); err != nil {
		panic(err)
	}
	return m
}

// dial connects to an address as a client does, which allows one second for it.
func dial(address string) (net.Conn, error) {
	dialer := new(net.Dialer)
	dialer.Timeout = time.Second
	return dialer.Dial("tcp4", address)
}

func listen(address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp4", address)
}
