package site

const (
	// routeLevels is the number of route priorities that queues tell apart within one
	// priority of organisations.
	routeLevels = 10
	// engineRouteLevels is the same for engines, and lowestEnginePriority the least urgent
	// priority that they know.
	engineRouteLevels    = 3
	lowestEnginePriority = 9
	// engineLevelsPerRoute is the distance at engines between two priorities of routes
	// whose requests belong to no organisation.
	engineLevelsPerRoute = 2
)

// An Urgency orders requests. Lower values are more urgent.
type Urgency struct {
	// Queue orders the requests that wait for an engine; 0 is the most urgent.
	Queue int
	// Engine is what engines are told, from 0 to 9.
	Engine int
}

// NewUrgency returns the urgency of a request of an organisation on a route. The priority
// of the organisation decides, and that of the route orders requests within it. Without
// an organisation the priority of the route decides alone.
func NewUrgency(organisation *Organisation, route *Route) Urgency {
	if organisation == nil {
		return Urgency{Queue: route.Priority, Engine: min(engineLevelsPerRoute*route.Priority, lowestEnginePriority)}
	}
	within := max(route.Priority, 0)
	return Urgency{
		Queue:  organisation.Priority*routeLevels + min(within, routeLevels-1),
		Engine: min(organisation.Priority*engineRouteLevels+min(within, engineRouteLevels-1), lowestEnginePriority),
	}
}
