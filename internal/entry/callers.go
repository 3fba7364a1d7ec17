package entry

import (
	"strings"

	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/keys"
	"siskinloom.example/siskinloom/internal/wire"
)

// callers are the keys of one deployment's callers.
type callerIndex struct {
	deployment *decl.Deployment
	keys       *keys.Index[wire.Principal]
}

// newCallerIndex indexes a deployment's callers. Its digests were checked when it was read.
func newCallerIndex(deployment *decl.Deployment) *callerIndex {
	c := &callerIndex{deployment: deployment, keys: keys.NewIndex[wire.Principal](len(deployment.Callers))}
	for _, caller := range deployment.Callers {
		digest, err := keys.Parse(caller.KeySHA256)
		if err != nil {
			continue // no key has this digest
		}
		c.keys.Add(digest, wire.Principal{Caller: caller.Name, Agency: caller.Agency, Business: businessOf(deployment, caller.Agency)})
	}
	return c
}

// authenticate finds the caller by its key.
func (c *callerIndex) authenticate(ctx *fasthttp.RequestCtx) (wire.Principal, bool) {
	key, bearer := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !bearer {
		return wire.Principal{}, false
	}
	return c.keys.Owner(key)
}

// currentCallers returns the callers of the deployment in force, nil while none is.
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
