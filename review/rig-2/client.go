package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id     string
	status int // zero without an answer
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// request returns a GET request as a client sends it.
func request(method, path, id string, deadline time.Duration, body string) string {
	head := fmt.Sprintf(wire("%s %s HTTP/1.1\r\nHost: %s\r\n@H-Request-Id: %s\r\n@H-Deadline-Ms: %d\r\n"),
		method, path, host, id, deadline.Milliseconds())
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return head + "\r\n" + body
}

// send sends one request on a new connection and reads its answer.
func send(address, method, path, id string, deadline time.Duration, body string) answer {
	start := time.Now()
	a := answer{id: id}
	c, err := dial(address)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(start.Add(deadline + time.Second))
	if _, err := io.WriteString(c, request(method, path, id, deadline, body)); err != nil {
		a.err = err
		return a
	}
	a.read(bufio.NewReader(c))
	a.took = time.Since(start)
	return a
}

// read reads an answer.
func (a *answer) read(reader *bufio.Reader) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		a.err = err
		return
	}
	a.body, a.err = io.ReadAll(resp.Body)
	a.status, a.header = resp.StatusCode, resp.Header
}

func (a answer) stamp() string { return a.header.Get(wire("@H-Server-Stamp")) }

// String describes the answer in the record.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: no whole answer: %v", a.id, a.err)
	}
	return fmt.Sprintf("%s: %d, stamp %q, %d bytes", a.id, a.status, a.stamp(), len(a.body))
}
