package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"k8s.io/klog/v2"

	"github.com/poststand/poststand/fleet"
	"github.com/poststand/poststand/internal/agent"
	"github.com/poststand/poststand/internal/gateway"
	"github.com/poststand/poststand/internal/settings"
	"github.com/poststand/poststand/internal/standin"
)

// endpoints holds the addresses of one gateway, one agent and one engine.
type endpoints struct {
	engineURL, gatewayURL  string // URLs of the engine and of the gateway's port for callers.
	gatewayAddr, agentAddr string // Addresses for other processes.
	adminAddr, sourceAddr  string // Of the gateway's admin port and the agent's weights source.
}

// startLoopback starts one gateway, one agent and one engine on loopback addresses.
func startLoopback(b testing.TB) endpoints {
	b.Helper()
	klog.SetOutput(io.Discard)
	klog.LogToStderr(false)
	origin, platform := &standin.Origin{}, &standin.Platform{}
	digest, err := origin.Add(standin.Artifact{Model: "m", Version: "v", Bytes: 1 << 16, ChunkSize: 1 << 14})
	if err != nil {
		b.Fatal(err)
	}
	e := &standin.Engine{FirstToken: 2 * time.Millisecond, PerToken: time.Millisecond, Batch: 64}
	serve := func(h http.Handler) string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		srv := &http.Server{Handler: h}
		b.Cleanup(func() { _ = srv.Close() })
		go func() { _ = srv.Serve(ln) }()
		return "http://" + ln.Addr().String()
	}
	freeAddr := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		return ln.Addr().String()
	}
	engineURL := serve(e)
	gwAddr, agAddr, callerAddr := freeAddr(), freeAddr(), freeAddr()
	platform.Publish(map[string][]byte{"a.yaml": fmt.Appendf(nil, "halls: {h: {}}\nmodels: {m: {versions: {v: {manifest: %q}}}}\n"+
		"services: {chat: {boxes: engine, model: m, version: v, replicas: {h: 1}}}\nweights: {window: 400ms}\n", digest)})
	platform.SetFleet(map[string]fleet.Box{
		"gw": {Name: "gw", Hall: "h", Class: fleet.ClassGateway, Addr: gwAddr},
		"ag": {Name: "ag", Hall: "h", Class: "engine", Addr: agAddr},
	})
	common := settings.Common{Cluster: "c", Hall: "h", Join: []string{gwAddr}, DrainTimeout: time.Second, MaxConns: 64}
	gs := &settings.Gateway{Common: common, HTTP: callerAddr, Platform: serve(platform), MaxBody: 1 << 20, MaxAnswer: 1 << 20, MaxAttempts: 4}
	gs.HeaderTimeout, gs.BodyTimeout = 300*time.Millisecond, 600*time.Millisecond
	gs.Box, gs.Listen, gs.Admin = "gw", gwAddr, freeAddr()
	as := &settings.Agent{Common: common, Engine: engineURL, Source: freeAddr(), Origin: serve(origin), Memory: 1 << 24, Strategy: settings.StrategySwarm, Slots: 64, Queue: 64}
	as.Box, as.Listen, as.Admin = "ag", agAddr, freeAddr()
	g, err := gateway.New(gs, gateway.Options{})
	if err != nil {
		b.Fatal(err)
	}
	a, err := agent.New(as, agent.Options{})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = g.Run(ctx) })
	wg.Go(func() { _ = a.Run(ctx) })
	b.Cleanup(func() { cancel(); wg.Wait() })
	for range 400 {
		if a.Serves(digest) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	return endpoints{engineURL, "http://" + callerAddr, gwAddr, agAddr, gs.Admin, as.Source}
}

// BenchmarkHop prints the latency of requests through gateway and agent compared
// with requests sent directly to the engine. Both are measured in alternation in
// the same run.
func BenchmarkHop(b *testing.B) {
	ep := startLoopback(b)
	hs := [2]*hdrhistogram.Histogram{hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)}
	body, _ := json.Marshal(standin.ChatRequest{
		Model: "chat", MaxTokens: 8, Stream: true, Messages: []standin.Message{{Role: "user", Content: "hello"}},
	})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for b.Loop() {
		for i, url := range []string{ep.engineURL, ep.gatewayURL} {
			start := time.Now()
			resp, err := client.Post(url+"/v1/chat/completions", "application/json", bytes.NewReader(body))
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Fatal(resp.Status)
			}
			_ = hs[i].RecordValue(time.Since(start).Microseconds())
		}
	}
	for _, q := range []float64{50, 99} {
		d, t := hs[0].ValueAtQuantile(q), hs[1].ValueAtQuantile(q)
		fmt.Printf("quantile=%.0f direct_us=%d through_us=%d ratio=%.3f added_us=%d\n", q, d, t, float64(t)/float64(d), t-d)
	}
}
