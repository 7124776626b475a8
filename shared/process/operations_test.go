package process_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"cowslipshunt.example/shared/process"
)

func TestReadyzReflectsSetReady(t *testing.T) {
	o := process.NewOperations()
	for _, ready := range []bool{false, true, false} {
		o.SetReady(ready)
		w := httptest.NewRecorder()
		o.Router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		if got := w.Code == http.StatusOK; got != ready {
			t.Errorf("ready %v: /readyz answered %d", ready, w.Code)
		}
	}
}
