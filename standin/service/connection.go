package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

type connectionKey struct{}

// countRequests gives each connection a count of its requests, for http.Server.ConnContext.
func countRequests(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, new(atomic.Int64))
}

// withReuse tells next, through reused, whether a request is not the first on its connection.
func withReuse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count, ok := r.Context().Value(connectionKey{}).(*atomic.Int64)
		again := ok && count.Add(1) > 1
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), reusedKey{}, again)))
	})
}

type reusedKey struct{}

func reused(ctx context.Context) bool {
	again, _ := ctx.Value(reusedKey{}).(bool)
	return again
}
