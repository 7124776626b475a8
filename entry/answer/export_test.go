package answer

// SpendRetryBudget leaves no retry in the server's budget, and none is added.
func (s *Server) SpendRetryBudget() {
	s.retryBudget.SetLimit(0)
	s.retryBudget.SetBurst(0)
}
