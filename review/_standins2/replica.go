package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// bodyOf returns the whole body of the answer to a request.
func bodyOf(id string) string {
	const lines = 20
	var b strings.Builder
	for i := range lines {
		fmt.Fprintf(&b, "line %d of %d for %s\n", i+1, lines, id)
	}
	return b.String()
}

// runReplica is a sound replica of a plain service. It works on slots requests at once; its answers have
// neither a length nor chunks, and end with their connection.
func runReplica(args []string) {
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	addr := flags.String("addr", "", "address to listen at")
	id := flags.String("id", "", "its id")
	slots := flags.Int("slots", 6, "requests at once")
	work := flags.Duration("work", 60*time.Millisecond, "mean time of a request")
	readRate := flags.Int("read-rate", 0, "bytes of a request body read in a second; 0 for no limit")
	stream := flags.Bool("stream", false, "answers are streams of events")
	extra := flags.Float64("extra", 0, "share of the answers after which more is sent, late; for 5 s of each 7")
	framed := flags.Bool("framed", false, "answers have a length")
	_ = flags.Parse(args)
	ln, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Println("not listening:", err)
		return
	}
	r := &replica{id: *id, slots: make(chan struct{}, *slots), work: *work, readRate: *readRate, framed: *framed, stream: *stream, extra: *extra, since: time.Now()}
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

type replica struct {
	id       string
	slots    chan struct{}
	work     time.Duration
	readRate int
	framed   bool
	stream   bool
	extra    float64
	since    time.Time
}

func (r *replica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	surplus := false
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.readRate > 0 {
			fmt.Println("arrives", req.Header.Get("X-Attempt-Id"), r.id)
		}
		if !r.readBody(req) {
			return
		}
		if surplus {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id); err != nil {
				return
			}
			fmt.Println("surplus", r.id, "in the place of the answer to", req.Header.Get("X-Attempt-Id"))
		}
		if !r.answer(c, req) {
			return
		}
		surplus = r.isFaulty() && rand.Float64() < r.extra
	}
}

// isFaulty reports whether the replica is faulty now, if it is at times.
func (r *replica) isFaulty() bool {
	const faulty, period = 5 * time.Second, 7 * time.Second
	return time.Since(r.since)%period < faulty
}

// readBody reads a body, and no faster than the replica does.
func (r *replica) readBody(req *http.Request) bool {
	if r.readRate == 0 {
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	}
	const step = 20 * time.Millisecond
	for {
		_, err := io.CopyN(io.Discard, req.Body, int64(r.readRate)*int64(step)/int64(time.Second))
		if err == io.EOF {
			return true
		}
		if err != nil {
			return false
		}
		time.Sleep(step)
	}
}

// answer answers a request and reports whether the connection goes on.
func (r *replica) answer(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("X-Attempt-Id")
	if want := req.Header.Get("X-Expect-Replica"); want != "" && want != r.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Replica-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, r.id)
		return err == nil
	}
	if r.stream {
		return r.sendEvents(c, req)
	}
	r.slots <- struct{}{}
	defer func() { <-r.slots }()
	fmt.Println("run", id, r.id)
	body := bodyOf(id)
	time.Sleep(time.Duration(float64(r.work) * (0.25 + 0.5*rand.Float64())))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Signature: sig-%s\r\nContent-Type: application/json\r\n", id, r.id)
	if r.framed {
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		return err == nil
	}
	half := len(body) / 2
	if _, err := fmt.Fprintf(c, "%s\r\n%s", head, body[:half]); err != nil {
		return false
	}
	time.Sleep(time.Duration(float64(r.work) * (0.25 + 0.5*rand.Float64())))
	if _, err := io.WriteString(c, body[half:]); err == nil {
		fmt.Println("whole", id, r.id)
	}
	return false
}

// Streams of events, as those of the model services of the small deployments.
const (
	events     = 20
	eventBytes = 420
	eventGap   = 46 * time.Millisecond
)

// event returns one event of the answer to a request.
func event(id string, n int) string {
	e := fmt.Sprintf("id: %d\ndata: %s ", n, id)
	return e + strings.Repeat("t", eventBytes-len(e)-2) + "\n\n"
}

// sendEvents sends a stream that ends with its connection. It goes on after Last-Event-Id.
func (r *replica) sendEvents(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("X-Attempt-Id")
	first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	fmt.Println("run", id, r.id, "after", first)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Signature: sig-%s\r\nContent-Type: text/event-stream\r\n\r\n", id, r.id); err != nil {
		return false
	}
	for n := first + 1; n <= events; n++ {
		time.Sleep(eventGap)
		if _, err := io.WriteString(c, event(id, n)); err != nil {
			return false
		}
	}
	fmt.Println("whole", id, r.id)
	return false
}
