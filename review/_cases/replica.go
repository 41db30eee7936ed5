package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/poststand/poststand/platform/platformtest"
)

// Ways in which a replica answers.
const (
	modeWhole    = "whole"    // A stream in chunks.
	modeUnframed = "unframed" // A stream with neither a length nor chunks, which ends with its connection.
	modeInside   = "inside"   // A stream in chunks that stops partway through an event.
	modeUnsigned = "unsigned" // Bytes that are no answer of the protocol: a 200 without signature and ID.
	modeLate     = "late"     // A stream in chunks whose first event takes firstLate; too large requests are rejected.
	modeLazy     = "lazy"     // It begins late, and doesn't notice that a connection has closed.
	modePlain    = "plain"    // A plain answer with a length.
	modeDeadly   = "deadly"   // The same, but the poison crashes the replica.
	modeSheds    = "sheds"    // The same, but one in shedEvery requests of a connection is turned away.
	modeRepeats  = "repeats"  // The same, and a surplus refusal follows each, late.
)

const (
	events   = 20
	interval = 50 * time.Millisecond

	firstLate   = 300 * time.Millisecond
	lazyWait    = 5500 * time.Millisecond
	memory      = 317000 // Tokens that a replica holds.
	rejectLate  = 50 * time.Millisecond
	tokensField = "X-Token-Count"
)

// replica is one replica of the model service. It runs as a process of its own.
type replica struct {
	id, mode string
	log      *os.File
}

func runReplica(args []string) {
	fs := flag.NewFlagSet("replica", flag.ExitOnError)
	r := &replica{}
	var addr, log string
	fs.StringVar(&addr, "addr", "", "")
	fs.StringVar(&r.id, "id", "", "")
	fs.StringVar(&r.mode, "mode", modeWhole, "")
	fs.StringVar(&log, "log", "", "")
	_ = fs.Parse(args)
	var err error
	if r.log, err = os.OpenFile(log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
		os.Exit(cannotBe)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		os.Exit(cannotBe)
	}
	r.printf("%s listens", r.id)
	for {
		nc, err := ln.Accept()
		if err != nil {
			os.Exit(cannotBe)
		}
		switch r.mode {
		case modePlain, modeDeadly:
			go r.servePlain(nc, r.mode == modeDeadly)
		case modeSheds, modeRepeats:
			go r.serveShedding(nc, r.mode == modeRepeats)
		default:
			go r.serve(nc)
		}
	}
}

func (r *replica) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.log, "%d replica %s\n", time.Now().UnixMicro(), fmt.Sprintf(format, args...))
}

func (r *replica) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Attempt-Id")
		if want := req.Header.Get("X-Expect-Replica"); want != "" && want != r.id {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.id)
			continue
		}
		if !r.answer(nc, req, id) {
			return
		}
	}
}

// answer runs a request and reports whether its connection goes on.
func (r *replica) answer(nc net.Conn, req *http.Request, id string) bool {
	first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if r.mode == modeUnsigned {
		r.printf("%s gives %s bytes that are no answer: 200, no X-Attempt-Id, no X-Replica-Signature", r.id, id)
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	if r.mode == modeLate {
		prompt, _, _ := strings.Cut(req.Header.Get(tokensField), ",")
		if n, _ := strconv.Atoi(prompt); n > memory {
			time.Sleep(rejectLate)
			r.printf("%s rejects %s, which is larger than its memory", r.id, id)
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			return true
		}
		time.Sleep(firstLate)
	}
	if r.mode == modeLazy {
		left, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
		r.printf("%s queues %s, which has %d ms left and expects version %q", r.id, id, left, req.Header.Get("X-Expect-Version"))
		time.Sleep(min(lazyWait, time.Duration(left)*time.Millisecond))
		if time.Duration(left)*time.Millisecond <= lazyWait {
			r.printf("%s drops %s at its deadline", r.id, id)
			return false
		}
	}
	r.printf("%s runs %s, from event %d", r.id, id, first+1)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Signature: sig.%s.%s\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n", id, r.id, id)
	framing := "Transfer-Encoding: chunked\r\n\r\n"
	if r.mode == modeUnframed {
		framing = "Connection: close\r\n\r\n"
	}
	_, _ = io.WriteString(nc, head+framing)
	for i := first + 1; i <= events; i++ {
		time.Sleep(interval)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %d for %s\n\n", i, i, events, id)
		if r.mode == modeInside && i == events/2 {
			event = event[:len(event)/2]
			_, _ = fmt.Fprintf(nc, "%x\r\n%s\r\n0\r\n\r\n", len(event), event)
			r.printf("%s stops %s partway through event %d of %d", r.id, id, i, events)
			return true
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		if r.mode == modeUnframed {
			chunk = event
		}
		if _, err := io.WriteString(nc, chunk); err != nil {
			r.printf("%s cannot send event %d of %s", r.id, i, id)
			return false
		}
		r.printf("%s sent event %d of %s", r.id, i, id)
	}
	if r.mode == modeUnframed {
		return false
	}
	_, _ = io.WriteString(nc, "0\r\n\r\n")
	r.printf("%s has sent all of %s", r.id, id)
	return true
}

// entry is what a replica writes of itself into the store.
func entry(addr, zone, mode string, born time.Time) platformtest.Body {
	b := platformtest.Body{
		"service": "llm", "addr": addr, "zone": zone, "version": "1", "slots": 16, "state": "ready", "cold_left_ms": 0, "seq": 1,
		"born": born.UnixMilli(), "phase": "both", "models": []platformtest.Body{{"name": "m", "version": 1, "adapters": []string{}}},
	}
	switch mode {
	case modePlain, modeDeadly, modeSheds, modeRepeats:
		b["service"], b["slots"] = "api", 6
		delete(b, "phase")
		delete(b, "models")
	}
	return b
}
