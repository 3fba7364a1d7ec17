package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	deskEngines = 3
	deskSlots   = 4
	deskQueue   = 2
	deskWork    = 200 * time.Millisecond
	// deskIdle is how long an idle connection is kept.
	deskIdle = 5 * time.Second
)

// desk is an engine of the plain service that books filings, of which each may run once.
type desk struct {
	fleet             *fleet
	id, zone, address string

	mu      sync.Mutex
	beats   int64
	present int
	extra   float64 // share of the answers of which a second copy follows late
	slots   chan struct{}
	work    time.Duration
}

// filings records what ran and what was answered, by the ID of the request.
type filings struct {
	mu       sync.Mutex
	runs     map[string]int
	answers  map[string]int
	extras   int // second copies sent
	refusals int // answers of engines that are full
	foreign  int // successes with the body of another request
}

func (q *filings) noteForeign() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.foreign++
}

func (f *fleet) addDesk(id, zone string, work time.Duration) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d := &desk{fleet: f, id: id, zone: zone, address: listener.Addr().String(), slots: make(chan struct{}, deskSlots), work: work}
	f.desks = append(f.desks, d)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	go func() {
		for {
			d.mu.Lock()
			d.beats++
			beats := d.beats
			d.mu.Unlock()
			f.put("servers/"+id, map[string]any{"service": "settle-app", "address": d.address, "zone": zone, "version": "v1", "slots": deskSlots, "state": "ready", "coldLeftMs": 0, "seq": beats})
			select {
			case <-f.done:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

// serve answers the requests of a connection, one after another. If a second copy of an answer is
// due, it is sent where the next answer on the connection is expected.
func (d *desk) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	var late []byte
	for {
		_ = conn.SetReadDeadline(time.Now().Add(deskIdle))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := conn.Write(late); err != nil {
				return
			}
			d.fleet.record.add("engine %s: %s comes on a connection that owes a second copy of an answer, which is sent first", d.id, r.Header.Get("Siskinloom-Request-Id"))
			late = nil
		}
		raw := d.answer(r, body)
		if _, err := conn.Write(raw); err != nil {
			return
		}
		if d.drawExtra() {
			if late = raw; d.fleet.spoiled {
				late = withoutID(raw)
			}
		}
	}
}

// withoutID returns an answer without the line that has the request's ID.
func withoutID(raw []byte) []byte {
	head, body, _ := strings.Cut(string(raw), "\r\n\r\n")
	lines := slices.DeleteFunc(strings.Split(head, "\r\n"), func(line string) bool { return strings.HasPrefix(line, "Siskinloom-Request-Id:") })
	return []byte(strings.Join(lines, "\r\n") + "\r\n\r\n" + body)
}

func (d *desk) drawExtra() bool {
	d.mu.Lock()
	extra := rand.Float64() < d.extra
	d.mu.Unlock()
	if extra {
		f := d.fleet.filings
		f.mu.Lock()
		f.extras++
		f.mu.Unlock()
	}
	return extra
}

// answer runs a request, or rejects it if the engine is full, and returns the bytes of the answer.
func (d *desk) answer(r *http.Request, body []byte) []byte {
	id := r.Header.Get("Siskinloom-Request-Id")
	respond := func(status int, body string, headers ...string) []byte {
		var b bytes.Buffer
		fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=%d\r\n", status, http.StatusText(status), len(body), int(deskIdle.Seconds()))
		if id != "" {
			fmt.Fprintf(&b, "Siskinloom-Request-Id: %s\r\n", id)
		}
		for _, header := range headers {
			b.WriteString(header + "\r\n")
		}
		b.WriteString("\r\n" + body)
		return b.Bytes()
	}
	if expected := r.Header.Get("Siskinloom-Expect-Instance"); expected != "" && expected != d.id {
		return respond(http.StatusMisdirectedRequest, "", "Siskinloom-Instance-Id: "+d.id)
	}
	if id == "" {
		return respond(http.StatusBadRequest, "", "Siskinloom-Not-Executed: 1")
	}
	d.mu.Lock()
	full := d.present >= deskSlots+deskQueue
	if !full {
		d.present++
	}
	d.mu.Unlock()
	f := d.fleet.filings
	if full {
		f.mu.Lock()
		f.refusals++
		f.mu.Unlock()
		d.fleet.record.add("engine %s: is full, %s is answered 503 and not run", d.id, id)
		return respond(http.StatusServiceUnavailable, "", "Siskinloom-Not-Executed: 1")
	}
	d.slots <- struct{}{}
	f.mu.Lock()
	f.runs[id]++
	runs := f.runs[id]
	f.mu.Unlock()
	d.fleet.record.add("engine %s: request %s runs, for the %d. time", d.id, id, runs)
	time.Sleep(d.work)
	<-d.slots
	d.mu.Lock()
	d.present--
	d.mu.Unlock()
	return respond(http.StatusOK, "booked "+string(body), "Siskinloom-Server-Seal: seal-"+id)
}

// file sends the filings of one consumer: a burst of them, each second.
func (f *fleet) file(consumer, burst int) {
	entries := f.entries()
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: burst}}
	for second := 0; ; second++ {
		select {
		case <-f.done:
			return
		case <-time.After(time.Until(f.record.begin.Add(time.Duration(second+8) * burstInterval))):
		}
		for i := range burst {
			go func() {
				for try := range 2 {
					id := fmt.Sprintf("f%d-%d-%d-%d", consumer, second, i, try)
					status := f.fileOnce(client, entries[(consumer+try)%len(entries)], id)
					if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
	}
}

// fileOnce makes one attempt and returns the status of the answer, 0 if there is none.
func (f *fleet) fileOnce(client *http.Client, entry *machine, id string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+entry.front()+"/filing/"+id, bytes.NewReader([]byte(id)))
	if err != nil {
		return 0
	}
	request.GetBody = nil // the client sends no attempt a second time
	request.Host = host
	request.Header.Set("Siskinloom-Request-Id", id)
	request.Header.Set("Siskinloom-Deadline-Ms", strconv.Itoa(3000))
	request.Header.Set("Authorization", "Token key-1")
	status := 0
	response, err := client.Do(request)
	if err == nil {
		raw, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
		switch {
		case readErr != nil:
			status = 0
		case status == http.StatusOK && string(raw) != "booked "+id:
			f.filings.noteForeign()
			f.record.add("consumer: %s got the answer %q with the seal %q", id, raw, response.Header.Get("Siskinloom-Server-Seal"))
		}
	}
	f.filings.mu.Lock()
	f.filings.answers[id] = status
	f.filings.mu.Unlock()
	f.record.add("consumer: %s was sent to %s and answered %d", id, entry.name, status)
	return status
}
