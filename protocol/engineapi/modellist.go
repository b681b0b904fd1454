package engineapi

// A ModelList is the answer of PathModels.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// A Model is one loaded instance.
type Model struct {
	// ID is the name of the instance.
	ID     string `json:"id"`
	Object string `json:"object"`
}
