package demo

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	controlTimeout    = 5 * time.Second
	readyTimeout      = 20 * time.Second
	readyPollInterval = 100 * time.Millisecond
)

// PublishInstances sends each site's instance list to its platform.
func PublishInstances(dir string, layout Layout) error {
	for _, site := range layout.Sites {
		text, err := os.ReadFile(filepath.Join(dir, "instances-"+site.Deployment+".json"))
		if err != nil {
			return errors.Wrap(err, "demo")
		}
		if err := post(site.Control, "/instances", text); err != nil {
			return err
		}
	}
	return nil
}

// SetOutage starts or ends an outage of all key-value services.
func SetOutage(layout Layout, on bool) error {
	for _, site := range layout.Sites {
		if err := post(site.Control, fmt.Sprintf("/outage?on=%d", map[bool]int{true: 1}[on]), nil); err != nil {
			return err
		}
	}
	return nil
}

// AwaitControls waits until the fault switches of all platforms answer.
func AwaitControls(layout Layout) error {
	for _, site := range layout.Sites {
		if err := awaitOK(site.Control, "/stats"); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until all entries and agents report that they are ready.
func AwaitReady(layout Layout) error {
	for _, site := range layout.Sites {
		for _, all := range [][]Instance{site.Entries, site.Agents} {
			for _, instance := range all {
				if err := awaitOK(instance.Metrics, "/readyz"); err != nil {
					return errors.Wrap(err, instance.ID)
				}
			}
		}
	}
	return nil
}

// awaitOK waits until a GET request is answered with status 200.
func awaitOK(address, path string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+address+path, time.Second)
		if err == nil && status == fasthttp.StatusOK {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return errors.Errorf("demo: %s%s did not answer 200 within %s", address, path, readyTimeout)
}

func post(address, path string, body []byte) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, controlTimeout); err != nil {
		return errors.Wrap(err, "demo: "+path)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("demo: %s: status %d: %s", path, resp.StatusCode(), resp.Body())
	}
	return nil
}
