package residency

import "cmp"

// compareWithLost orders models by the urgency of a further replica while lost replicas are to be replaced. First come
// models whose replicas in use were lost and models without a replica that are requested, in decreasing order of the
// demand that a replica serves; then the other models without a replica; then further replicas for growing demand.
func (p *plan) compareWithLost(a, b string) int {
	classA, valueA := p.urgencyWithLost(a)
	classB, valueB := p.urgencyWithLost(b)
	if classA != classB {
		return cmp.Compare(classA, classB)
	}
	return cmp.Compare(valueB, valueA)
}

// urgencyWithLost returns the class of a model in the order of compareWithLost and its urgency within the class.
func (p *plan) urgencyWithLost(model string) (class int, urgency float64) {
	lost := p.in.Lost[model]
	if p.replicas[model] == 0 {
		urgency = max(p.missingUrgency(model), lost)
		if urgency > 0 {
			return 0, urgency
		}
		return 1, 0
	}
	if lost > 0 {
		return 0, lost
	}
	return 2, p.replicaUrgency(model)
}
