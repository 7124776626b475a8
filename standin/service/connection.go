package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

type requestCountKey struct{}

// countRequests adds a request counter to each connection's context. It is for http.Server.ConnContext.
func countRequests(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, requestCountKey{}, new(atomic.Int64))
}

// markReused records in the request's context, for isReused, whether an earlier request came on the same connection.
func markReused(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count, ok := r.Context().Value(requestCountKey{}).(*atomic.Int64)
		reused := ok && count.Add(1) > 1
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), reusedKey{}, reused)))
	})
}

type reusedKey struct{}

func isReused(ctx context.Context) bool {
	reused, _ := ctx.Value(reusedKey{}).(bool)
	return reused
}
