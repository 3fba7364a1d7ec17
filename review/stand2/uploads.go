package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	uploadEdgeMb     = 284 // of an edge machine of kmcc-renew, with a link of 1,000 Mbit/s
	uploadsPerSecond = 20
	uploadBytes      = 4 << 20
	uploadTimeout    = 10 * time.Second
	slowReadBytes    = 40 << 10 // that a slow engine reads at a time
	slowReadPause    = 100 * time.Millisecond
	checksPerSecond  = 20
	checkWork        = 200 * time.Millisecond
)

// uploadConfig returns a config with a route for documents and one for checks, each with its service.
func uploadConfig() map[string]any {
	route := func(name, service string, timeoutMs, sloMs int) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": "/" + name + "/", "kind": "idempotent", "service": service, "priority": 1, "timeoutMs": timeoutMs, "sloMs": sloMs, "maxAttempts": 2}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 220, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"version": 7, "routes": []any{route("upload", "archive", int(uploadTimeout.Milliseconds()), 4000), route("lookup", "booking-desk", 3000, 800)},
		"services": []any{service("archive"), service("booking-desk")},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// archive is an engine of the service that takes documents.
type archive struct {
	fleet   *fleet
	id      string
	slow    bool
	address string
}

func (f *fleet) addArchive(id, zone string, slow bool) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	a := &archive{fleet: f, id: id, slow: slow, address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, a) }()
	go func() {
		for beat := 1; ; beat++ {
			f.put("servers/"+id, map[string]any{"service": "archive", "address": a.address, "zone": zone, "version": "v1", "slots": engineSlots, "state": "ready", "coldLeftMs": 0, "seq": beat})
			select {
			case <-f.done:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

// ServeHTTP reads a document, slowly if the engine is slow, and answers.
func (a *archive) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Siskinloom-Expect-Instance"); expected != "" && expected != a.id {
		w.Header().Set("Siskinloom-Instance-Id", a.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	for {
		n, err := io.CopyN(io.Discard, r.Body, slowReadBytes)
		if n == 0 || err != nil {
			break
		}
		if a.slow {
			time.Sleep(slowReadPause)
		}
	}
	id := r.Header.Get("Siskinloom-Request-Id")
	w.Header().Set("Siskinloom-Request-Id", id)
	w.Header().Set("Siskinloom-Server-Seal", "seal-"+id)
	_, _ = io.WriteString(w, "stored "+id)
}

// uploads sends documents to all entries in turn.
func (f *fleet) uploads() {
	document := make([]byte, uploadBytes)
	_, _ = rand.Read(document)
	client := &http.Client{Timeout: uploadTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	entries := f.entries()
	for i := 0; ; i++ {
		select {
		case <-f.done:
			return
		case <-time.After(time.Second / uploadsPerSecond):
		}
		go func() {
			id := fmt.Sprintf("upload-%d", i)
			entry := entries[i%len(entries)]
			request, err := http.NewRequest(http.MethodPost, "http://"+entry.front()+"/upload/"+id, bytes.NewReader(document))
			if err != nil {
				return
			}
			request.Host = host
			request.Header.Set("Siskinloom-Request-Id", id)
			request.Header.Set("Siskinloom-Deadline-Ms", fmt.Sprint(uploadTimeout.Milliseconds()))
			response, err := client.Do(request)
			if err != nil {
				f.record.add("consumer: %s at %s: %v", id, entry.name, err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			f.record.add("consumer: %s at %s: status %d", id, entry.name, response.StatusCode)
		}()
	}
}

// runSlow plays the case in which engines read slowly.
func (f *fleet) runSlow(seconds int, trouble bool) int {
	f.edgeMb = uploadEdgeMb
	if err := f.startStore(); err != nil {
		return failed
	}
	f.put("op/config", uploadConfig())
	zones := []string{"bkk-a", "bkk-b", "bkk-c"}
	for i := range 3 {
		if f.addArchive(fmt.Sprintf("i-archive-%d", i), zones[i], trouble) != nil || f.addEngine(fmt.Sprintf("i-desk-%d", i), "booking-desk", zones[i], nil, checkWork) != nil {
			return failed
		}
	}
	for i := range 2 {
		if f.addMachine(fmt.Sprintf("edge-%d", i+1), zones[i], false) != nil || f.addMachine(fmt.Sprintf("storage-%d", i+1), zones[i], true) != nil {
			return failed
		}
	}
	time.Sleep(4 * time.Second)
	t := &tally{}
	go f.consumers("lookup", checksPerSecond, t)
	go f.uploads()
	time.Sleep(time.Until(f.record.begin.Add(time.Duration(seconds) * time.Second)))
	for _, m := range f.machines {
		m.mu.Lock()
		f.record.add("machine %s: %d ends by itself, at most %d MB of %d", m.name, m.ownEnds, m.peakMb, m.memoryMb)
		m.mu.Unlock()
	}
	f.record.add("attempts: %d served, %d not; on kept connections, run by a sound engine: %d without an answer, %d cut off in the answer", t.served.Load(), t.unserved.Load(), t.lost.Load(), t.cut.Load())
	switch {
	case t.served.Load() == 0:
		return failed
	case t.lost.Load() > maxLost:
		return broken
	}
	return held
}
