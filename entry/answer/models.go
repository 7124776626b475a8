package answer

import (
	"encoding/json"
	"net/http"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      wire.ModelName `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	OwnedBy string         `json:"owned_by"`
}

// ServeModels answers GET /v1/models with the models that the caller's workspace may use.
func (s *Server) ServeModels(w http.ResponseWriter, r *http.Request) {
	admitted, p := s.gate.Admit(r, func(*document.Accepted) bool { return false })
	if p != nil {
		p.Write(w)
		return
	}
	defer admitted.Release()
	models := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range admitted.Workspace.Models {
		models.Data = append(models.Data, modelItem{ID: name, Object: "model", OwnedBy: "cowslipshunt"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(models)
}
