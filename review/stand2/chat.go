package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

const (
	chatObjective = 2 * time.Second
	// chatGap is the pause without an event after which a consumer abandons a stream: the longest of
	// two seconds and four times the objective.
	chatGap       = 4 * chatObjective
	lookupTimeout = 800 * time.Millisecond
)

// tally counts how the requests of consumers ended.
type tally struct {
	served, unserved atomic.Int64
	// lost counts the requests on a kept connection that a sound engine had begun to run when the
	// connection ended without a byte of an answer, cut those whose answer had begun.
	lost, cut atomic.Int64
}

// attempt is one attempt of a consumer.
type attempt struct {
	id     string
	entry  *machine
	kept   bool // the connection had served a request before
	begun  bool // the answer has begun
	left   bool // the consumer left
	status int
	err    error
}

// consumers sends lookups and streams at the given rates a second to all entries in turn.
func (f *fleet) consumers(kind string, perSecond float64, t *tally) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}
	entries := f.entries()
	begin := time.Now()
	for i := 0; ; i++ {
		select {
		case <-f.done:
			return
		case <-time.After(time.Until(begin.Add(time.Duration(float64(i) / perSecond * float64(time.Second))))):
		}
		a := &attempt{id: fmt.Sprintf("%s-%d", kind, i), entry: entries[i%len(entries)]}
		go func() {
			if kind == "lookup" {
				f.lookup(client, a)
			} else {
				f.chat(client, a)
			}
			f.count(a, t)
		}()
	}
}

// count records how an attempt ended.
func (f *fleet) count(a *attempt, t *tally) {
	select {
	case <-f.done:
		return
	default:
	}
	at := "no engine"
	sound := false
	if ran, found := f.runs.Load(a.id); found {
		e := ran.(*engine)
		e.mu.Lock()
		at, sound = e.id, e.runaway == 0
		e.mu.Unlock()
	}
	f.record.add("consumer: %s at %s, kept connection %v, run by %s: status %d, error %v", a.id, a.entry.name, a.kept, at, a.status, a.err)
	if a.err == nil {
		t.served.Add(1)
		return
	}
	t.unserved.Add(1)
	switch {
	case a.left, !a.kept, !sound:
	case a.begun:
		t.cut.Add(1)
	default:
		t.lost.Add(1)
		f.record.add("consumer: %s is lost: %s had begun to run it, and its kept connection ended without an answer", a.id, at)
	}
}

// send sends an attempt and returns the answer.
func (f *fleet) send(ctx context.Context, client *http.Client, a *attempt, path, model string, deadline time.Duration) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(info httptrace.GotConnInfo) { a.kept = info.Reused },
		GotFirstResponseByte: func() { a.begun = true },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.entry.front()+path+a.id, io.NopCloser(bytes.NewReader([]byte(a.id))))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(a.id)) // without GetBody the client sends no request again
	request.Host = host
	request.Header.Set("Siskinloom-Request-Id", a.id)
	request.Header.Set("Siskinloom-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if model != "" {
		request.Header.Set("Siskinloom-Model", model)
		request.Header.Set("Siskinloom-Token-Count", "1016,112")
	}
	return client.Do(request)
}

// lookup makes a lookup.
func (f *fleet) lookup(client *http.Client, a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	response, err := f.send(ctx, client, a, "/lookup/", "", lookupTimeout)
	if err != nil {
		a.err, a.left = err, ctx.Err() != nil
		return
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	a.status, a.err, a.left = response.StatusCode, err, ctx.Err() != nil
	if err == nil && (a.status != http.StatusOK || string(raw) != "answer to "+a.id) {
		a.err, a.left = fmt.Errorf("status %d", a.status), true // it has an answer
	}
}

// chat reads a stream to its end, or abandons it after a pause of chatGap.
func (f *fleet) chat(client *http.Client, a *attempt) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gap := time.AfterFunc(chatGap, cancel)
	defer gap.Stop()
	response, err := f.send(ctx, client, a, "/chat/", "m0", 10*time.Second)
	if err != nil {
		a.err, a.left = err, ctx.Err() != nil
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	if a.status != http.StatusOK {
		a.err, a.left = fmt.Errorf("status %d", a.status), true
		return
	}
	events := int64(0)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			events++
			gap.Reset(chatGap)
		}
	}
	a.err, a.left = lines.Err(), ctx.Err() != nil
	if a.err == nil && events != eventCount(a.id) {
		a.err = fmt.Errorf("%d events of %d", events, eventCount(a.id))
	}
}
