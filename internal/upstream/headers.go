package upstream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the header fields that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// removeHopByHop removes the hop-by-hop fields and the fields listed in the
// Connection field.
func removeHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
