package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// result is what a client has seen of one request.
type result struct {
	id        string
	status    int // 0 if there was no answer.
	signature string
	body      string
	err       error // The answer is not complete.
	retryIn   time.Duration
}

func newID() string { return fmt.Sprintf("%016x", 0x5f00000000000000+lastAttempt.Add(1)) }

// send sends one request and reads the answer.
func send(c *http.Client, front, path string, body []byte, deadline time.Duration, headers ...string) result {
	res := result{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		res.err = err
		return res
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", res.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer k")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	res.status, res.signature = resp.StatusCode, resp.Header.Get("X-Replica-Signature")
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		res.retryIn = time.Duration(s * float64(time.Second))
	}
	b, err := io.ReadAll(resp.Body)
	res.body, res.err = string(b), err
	return res
}

// mixed returns how a success breaks MIXED; nil if it does not.
func (r *result) mixed() error {
	if r.status/100 != 2 || r.err != nil {
		return nil
	}
	switch want := bodyOf(r.id); {
	case r.signature == "":
		return errors.New("a success without a signature")
	case r.body != want:
		return fmt.Errorf("a success with %d of the %d bytes of the replica's body", len(r.body), len(want))
	}
	return nil
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}}
}
