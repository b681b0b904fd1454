package engineapi

// A ModelList is the response to a PathModels request.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// A Model describes a loaded instance as an OpenAI model.
type Model struct {
	// ID is the name of the instance.
	ID     string `json:"id"`
	Object string `json:"object"`
}
