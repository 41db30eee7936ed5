package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// playTokens: one client states a prompt of the most tokens that a signed 64-bit number holds, among
// streams of others. It is no case, since no page names such a client; the report tells of it.
func playTokens(w *world, trouble bool) ([]string, error) {
	s, err := w.newStreams()
	if err != nil {
		return nil, err
	}
	if err := s.startReplica("i-1", "z1", modeLate); err != nil {
		return nil, err
	}
	if err := s.awaitListed("i-1"); err != nil {
		return nil, err
	}
	const callers, started = 20, 40 * time.Millisecond
	stop := make(chan struct{})
	var all sync.WaitGroup
	var whole, cut atomic.Int64
	for c := range callers {
		all.Go(func() { s.keepAsking(c, stop, &whole, &cut) })
		time.Sleep(started)
	}
	time.Sleep(time.Second)
	if trouble {
		const sends, pause = 40, 100 * time.Millisecond
		for n := range sends {
			w.note("a client states a prompt of 9223372036854775807 tokens")
			w.sendTokens(s.relay.front, fmt.Sprintf("large-%d", n), "POST", "/s/large", "9223372036854775807,80")
			time.Sleep(pause)
		}
	}
	time.Sleep(2 * time.Second)
	ended := s.relay.ended()
	close(stop)
	all.Wait()
	w.note("streams of others: %d whole, %d cut or without an answer; the relay has ended by itself: %t", whole.Load(), cut.Load(), ended)
	if !ended {
		return nil, nil
	}
	return []string{"the relay ended by itself (Fault); requests on kept connections were cut without an answer (LOST)"}, nil
}

// keepAsking sends one stream after the other on a kept connection.
func (s *streams) keepAsking(caller int, stop <-chan struct{}, whole, cut *atomic.Int64) {
	nc, err := net.Dial("tcp", s.relay.front)
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("c%d-%d", caller, n)
		_, _ = io.WriteString(nc, requestText("POST", "/s/"+id, id, "200,100"))
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodPost})
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			cut.Add(1)
			return
		}
		whole.Add(1)
	}
}
