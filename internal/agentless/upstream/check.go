package upstream

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for a call that can't be written as exactly one HTTP/1.1 request. No
// endpoint was contacted, and none can serve the call.
var ErrMalformed = errors.New("malformed request")

// framingHeaders are the headers that only the pool writes. With a second value of one of them the
// endpoint could see the end of the request elsewhere.
var framingHeaders = []string{"Content-Length", "Host", "Transfer-Encoding"}

// CheckTarget returns an error unless target is the path, and possibly the query, of a request
// line.
func CheckTarget(target string) error {
	if !strings.HasPrefix(target, "/") {
		return errors.Wrap(ErrMalformed, "target does not begin with a slash")
	}
	if err := checkAnyTarget(target); err != nil {
		return err
	}
	if !strings.Contains(target, "%") {
		return nil
	}
	if _, err := url.ParseRequestURI(target); err != nil {
		return errors.Wrap(ErrMalformed, "target: "+err.Error())
	}
	return nil
}

// CheckHost returns an error unless host can be the value of a Host header.
func CheckHost(host string) error {
	if host == "" || !httpguts.ValidHostHeader(host) {
		return errors.Wrap(ErrMalformed, "invalid host")
	}
	return nil
}

// CheckHeader returns an error unless the header reaches an endpoint with this name and value.
func CheckHeader(name, value string) error {
	switch {
	case !httpguts.ValidHeaderFieldName(name):
		return errors.Wrapf(ErrMalformed, "invalid header name %q", name)
	case !httpguts.ValidHeaderFieldValue(value):
		return errors.Wrapf(ErrMalformed, "header %s has an invalid character", name)
	case strings.Trim(value, " \t") != value:
		return errors.Wrapf(ErrMalformed, "header %s begins or ends with white space", name)
	}
	return nil
}

// check returns an error unless the call can be written as exactly one request.
func (call *Call) check() error {
	if !httpguts.ValidHeaderFieldName(call.Method) { // a method is a token, as is a header name
		return errors.Wrapf(ErrMalformed, "method %q", call.Method)
	}
	if call.Method == http.MethodConnect {
		return errors.Wrap(ErrMalformed, "an endpoint that accepts CONNECT no longer reads requests from the connection")
	}
	if err := checkAnyTarget(call.Target); err != nil {
		return err
	}
	if err := CheckHost(call.Host); err != nil {
		return err
	}
	for name, values := range call.Header {
		if slices.Contains(framingHeaders, http.CanonicalHeaderKey(name)) {
			return errors.Wrapf(ErrMalformed, "header %s is written by the pool", name)
		}
		for _, value := range values {
			if err := CheckHeader(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkAnyTarget returns an error unless target stays one word of the request line. A caller's
// request may also have the target "*" or an absolute URL, which the endpoint interprets.
func checkAnyTarget(target string) error {
	const firstPrintable, deleteCharacter = 0x21, 0x7f
	malformed := func(r rune) bool { return r < firstPrintable || r == deleteCharacter }
	if target == "" || strings.ContainsFunc(target, malformed) {
		return errors.Wrap(ErrMalformed, "target is empty, or has a space or a control character")
	}
	return nil
}
