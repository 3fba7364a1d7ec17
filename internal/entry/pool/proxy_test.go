package pool_test

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards TCP connections. It can make the currently open ones go silent: they
// stay open but carry nothing any more, while new ones work.
type proxy struct {
	listener net.Listener

	mu      sync.Mutex
	to      string
	pairs   []*pair
	dropNew bool // drop the answers on new connections
}

// pair is a forwarded connection.
type pair struct {
	in                        net.Conn
	dropAnswers, dropRequests atomic.Bool
}

func newProxy(to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{listener: l, to: to}
	go p.serve()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		to := p.to
		p.mu.Unlock()
		out, err := net.Dial("tcp", to)
		if err != nil {
			_ = in.Close()
			continue
		}
		track := &pair{in: in}
		p.mu.Lock()
		track.dropAnswers.Store(p.dropNew)
		p.pairs = append(p.pairs, track)
		p.mu.Unlock()
		go forward(out, in, &track.dropRequests)
		go forward(in, out, &track.dropAnswers)
	}
}

// forward copies until one of the ends closes. While drop is set, it drops what it
// reads.
func forward(to, from net.Conn, drop *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !drop.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silenceNew makes the proxy drop the answers on new connections.
func (p *proxy) silenceNew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropNew = true
}

// retarget closes the open connections, as the exit of a process does, and forwards
// new ones to another address.
func (p *proxy) retarget(to string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.to = to
	for _, track := range p.pairs {
		_ = track.in.Close()
	}
}

// silence makes the proxy drop the answers on the currently open connections, and
// also the requests if requests is set.
func (p *proxy) silence(requests bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, track := range p.pairs {
		track.dropAnswers.Store(true)
		track.dropRequests.Store(requests)
	}
}
