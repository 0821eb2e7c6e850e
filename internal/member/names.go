package member

func (s State) String() string {
	switch s {
	case StateStarting:
		return "starting"
	case StateReady:
		return "ready"
	case StateDraining:
		return "draining"
	case StateGone:
		return "gone"
	}
	return "unknown"
}

func (r Role) String() string {
	switch r {
	case RoleBalancer:
		return "balancer"
	case RoleAgent:
		return "agent"
	}
	return "unknown"
}
