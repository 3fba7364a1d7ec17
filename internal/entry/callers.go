package entry

import (
	"strings"

	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/keys"
	"siskinloom.example/siskinloom/internal/wire"
)

// callerIndex maps the API keys of one deployment's callers to their principals.
type callerIndex struct {
	deployment *decl.Deployment
	keys       *keys.Index[wire.Principal]
}

// newCallerIndex returns the index of a deployment's callers. The digests were
// validated when the deployment was read.
func newCallerIndex(deployment *decl.Deployment) *callerIndex {
	c := &callerIndex{deployment: deployment, keys: keys.NewIndex[wire.Principal](len(deployment.Callers))}
	for _, caller := range deployment.Callers {
		digest, err := keys.Parse(caller.KeySHA256)
		if err != nil {
			continue // an invalid digest matches no key
		}
		c.keys.Add(digest, wire.Principal{Caller: caller.Name, Agency: caller.Agency, Business: businessOf(deployment, caller.Agency)})
	}
	return c
}

// authenticate returns the principal whose key the request bears.
func (c *callerIndex) authenticate(ctx *fasthttp.RequestCtx) (wire.Principal, bool) {
	key, bearer := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !bearer {
		return wire.Principal{}, false
	}
	return c.keys.Owner(key)
}

// currentCallers returns the callers of the deployment in force, or nil if there
// is no deployment yet.
func (e *Server) currentCallers() *callerIndex {
	deployment := e.deps.Config.Current()
	if deployment == nil {
		return nil
	}
	known := e.callers.Load()
	if known == nil || known.deployment != deployment {
		known = newCallerIndex(deployment)
		e.callers.Store(known)
	}
	return known
}
