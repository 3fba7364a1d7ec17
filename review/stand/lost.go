package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// streamRoute is a route of streams that may not be resumed.
func streamRoute() map[string]any {
	return map[string]any{"name": "stream", "host": host, "prefix": "/stream/", "kind": "streaming", "service": modelService, "timeoutMs": 10000, "sloMs": 500, "priority": 1, "maxAttempts": 3}
}

// startStreams starts a deployment with one entry and model engines that stream as given.
func startStreams(record *recorder, like *engine) (*fleet, *process, error) {
	var engines []*engine
	for i := 1; i <= 3; i++ {
		engines = append(engines, &engine{id: fmt.Sprintf("i-llm-%d", i), service: modelService, events: like.events, pace: like.pace, capacity: like.capacity})
	}
	f, err := newFleet(record, engines, config(engines[0].memory(), streamRoute()))
	if err != nil {
		return nil, nil, err
	}
	entry, err := f.startProcess("edge-1", "edge")
	if err == nil {
		_, err = f.startProcess("storage-1", "storage")
	}
	if err == nil {
		err = f.awaitReady(entry)
	}
	if err != nil {
		f.stop()
		return nil, nil, err
	}
	time.Sleep(4 * time.Second) // longer than contactMs without any disturbance
	return f, entry, nil
}

// consumer is a consumer with a connection that it keeps.
type consumer struct {
	conn net.Conn
	in   *bufio.Reader
}

// connect opens a connection and makes it a kept one: it carries a request first.
func connect(entry *process, n int) (*consumer, error) {
	conn, err := net.Dial("tcp", entry.front)
	if err != nil {
		return nil, err
	}
	c := &consumer{conn, bufio.NewReader(conn)}
	if _, err := fmt.Fprintf(conn, "GET /none/%d HTTP/1.1\r\nHost: %s\r\n%s: first-%d\r\n\r\n", n, host, requestID, n); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return c, err
}

// outcome is what a consumer saw of a stream.
type outcome struct {
	status   int
	events   int
	complete bool
	err      error
	sent     time.Time // when the last byte of the request was sent
	ended    time.Time
	ran      bool

	lastEvent time.Time
}

// stream sends a request for a stream and reads the answer to its end. Like the consumers of the
// pages, it leaves after a gap of two seconds.
func (c *consumer) stream(id string) outcome {
	defer func() { _ = c.conn.Close() }()
	_, err := fmt.Fprintf(c.conn, "POST /stream/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nSiskinloom-Deadline-Ms: 10000\r\nSiskinloom-Model: %s\r\nSiskinloom-Token-Count: 100,60\r\nContent-Length: 0\r\n\r\n", id, host, requestID, id, modelName)
	o := outcome{sent: time.Now(), err: err}
	if err != nil {
		return o
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		o.err, o.ended = err, time.Now()
		return o
	}
	o.status = response.StatusCode
	lines := bufio.NewReader(response.Body)
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "data:") {
			o.events++
			o.lastEvent = time.Now()
		}
		if err != nil {
			o.ended = time.Now()
			o.complete = err == io.EOF
			if err != io.EOF {
				o.err = err
			}
			return o
		}
	}
}

// streamAll has each consumer send one stream at once and returns what they saw.
func streamAll(record *recorder, consumers []*consumer, prefix string) []outcome {
	outcomes := make([]outcome, len(consumers))
	var group sync.WaitGroup
	for i, c := range consumers {
		group.Add(1)
		go func() {
			defer group.Done()
			id := fmt.Sprintf("%s-%02d", prefix, i)
			o := c.stream(id)
			o.ran = record.runsOf(id) > 0
			outcomes[i] = o
			record.note("consumer %02d: status %d, %d events, complete %t, after %d ms, run %t, error %v", i, o.status, o.events, o.complete, o.ended.Sub(o.sent).Milliseconds(), o.ran, o.err)
		}()
	}
	group.Wait()
	return outcomes
}

// connectAll opens kept connections.
func connectAll(entry *process, n int) ([]*consumer, error) {
	var list []*consumer
	for i := range n {
		c, err := connect(entry, i)
		if err != nil {
			return nil, err
		}
		list = append(list, c)
	}
	return list, nil
}

// countLost counts the requests that the entry passed on to an engine and whose connection ended
// without a complete answer.
func countLost(outcomes []outcome) (lost, complete int) {
	for _, o := range outcomes {
		switch {
		case o.complete:
			complete++
		case o.ran:
			lost++
		}
	}
	return lost, complete
}

// playSilence sends streams to an entry that gets SIGTERM right after. With the disruption the
// memory of each engine suffices for three and a half streams: the newest of four is preempted
// after its first events and goes on once another has ended, some 1.5 s later.
func playSilence(record *recorder, trouble bool) (int, error) {
	const streams, events = 12, 30
	like := &engine{events: events, pace: 60 * time.Millisecond, capacity: defaultCapacity}
	if trouble {
		like.capacity = 4*promptTokens + 18
	}
	f, entry, err := startStreams(record, like)
	if err != nil {
		return failed, err
	}
	defer f.stop()
	consumers, err := connectAll(entry, streams)
	if err != nil {
		return failed, err
	}
	sigterm := time.Now().Add(200 * time.Millisecond)
	time.AfterFunc(200*time.Millisecond, func() { f.terminate(entry) })
	outcomes := streamAll(record, consumers, "silence")
	lost, complete := countLost(outcomes)
	for i, o := range outcomes {
		if !o.complete && o.ran {
			record.note("stream %02d was cut %d ms after the SIGTERM, %d ms after it was sent and %d ms after its last event; the route's timeout and the deadline are 10000 ms", i, o.ended.Sub(sigterm).Milliseconds(), o.ended.Sub(o.sent).Milliseconds(), o.ended.Sub(o.lastEvent).Milliseconds())
		}
	}
	record.note("%d streams, %d complete, %d cut after they had been passed on", streams, complete, lost)
	if lost > 0 {
		record.note("LOST: around a SIGTERM, connections ended without a complete answer, though their engines were at work on other requests only for a while")
		return broken, nil
	}
	if complete != streams {
		return failed, fmt.Errorf("%d of %d streams are complete", complete, streams)
	}
	return held, nil
}

// playLate sends streams on kept connections a little more than three seconds after a SIGTERM. The
// engine works on each for five seconds. Without the disruption there is no SIGTERM.
func playLate(record *recorder, trouble bool) (int, error) {
	const streams, events = 12, 50
	f, entry, err := startStreams(record, &engine{events: events, pace: 100 * time.Millisecond})
	if err != nil {
		return failed, err
	}
	defer f.stop()
	consumers, err := connectAll(entry, streams)
	if err != nil {
		return failed, err
	}
	began := time.Now()
	if trouble {
		f.terminate(entry)
	}
	time.Sleep(time.Until(began.Add(3080 * time.Millisecond)))
	outcomes := streamAll(record, consumers, "late")
	lost, complete := countLost(outcomes)
	late := 0
	for _, o := range outcomes {
		if !o.complete && o.ran && o.sent.Sub(began) > 3*time.Second {
			late++
			record.note("sent %d ms after the SIGTERM, cut %d ms after it", o.sent.Sub(began).Milliseconds(), o.ended.Sub(began).Milliseconds())
		}
	}
	record.note("%d streams, %d complete, %d cut after they had been passed on", streams, complete, lost)
	if late > 0 {
		record.note("LOST: requests that were sent later than 3 s after a SIGTERM were taken, passed on and cut")
		return broken, nil
	}
	if !trouble && complete != streams {
		return failed, fmt.Errorf("%d of %d streams are complete", complete, streams)
	}
	return held, nil
}
