package standin

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/engineapi"
)

// maxImports is the largest number of imported KV caches that an engine keeps.
const maxImports = 16

// importedCaches keeps each imported KV cache until the request that it was
// imported for. No other request may use it, as it may have been computed with
// other weights.
type importedCaches struct {
	contexts map[string]string // prompt and tokens, by cache ID
	order    []string          // oldest first
}

func newImportedCaches() *importedCaches {
	return &importedCaches{contexts: map[string]string{}}
}

func (c *importedCaches) put(id, context string) {
	c.contexts[id] = context
	c.order = append(c.order, id)
	if len(c.order) > maxImports {
		delete(c.contexts, c.order[0])
		c.order = c.order[1:]
	}
}

// take removes the cache with the ID and returns how many of the first bytes of
// context it covers.
func (c *importedCaches) take(id, context string) int {
	cached, found := c.contexts[id]
	delete(c.contexts, id)
	switch {
	case !found:
		return 0
	case strings.HasPrefix(context, cached):
		return len(cached)
	case strings.HasPrefix(cached, context):
		return len(context)
	default:
		return 0
	}
}

// contextToCompute returns how many bytes of a request's context need prefill.
func (e *Engine) contextToCompute(r engineapi.CompletionRequest) int {
	context := r.Prompt + strings.Join(r.Resume, "")
	if covered := e.imports.take(r.CacheID, context); covered > 0 {
		return len(context) - covered
	}
	return e.cache.use(context, time.Now())
}

// handleExport returns the KV cache of a running request: its context, padded to
// the size that a real cache would have.
func (e *Engine) handleExport(ctx *fasthttp.RequestCtx) {
	id := string(ctx.QueryArgs().Peek("request_id"))
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.running {
		if g.request.RequestID != id {
			continue
		}
		context := g.request.Prompt + strings.Join(g.request.Resume, "") + g.generated.String()
		ctx.Response.Header.Set(engineapi.HeaderVersion, strconv.FormatInt(e.version, 10))
		ctx.SetBody(append([]byte(context), make([]byte, len(context)*max(0, e.options.KVBytes-1))...))
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}

// handleImport keeps the cache for the request that names its ID.
func (e *Engine) handleImport(ctx *fasthttp.RequestCtx) {
	if e.options.RefuseImports {
		ctx.SetStatusCode(fasthttp.StatusInsufficientStorage)
		return
	}
	context, _, _ := bytes.Cut(ctx.PostBody(), []byte{0})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imports.put(string(ctx.QueryArgs().Peek("cache_id")), string(context))
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
