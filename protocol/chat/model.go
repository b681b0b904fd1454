package chat

// The values of the field object, which names the type of a JSON object.
const (
	ObjectList  = "list"
	ObjectModel = "model"
)

// A Model describes an adapter version as an OpenAI model.
type Model struct {
	// ID is NAME@VERSION, as in the model field of requests.
	ID string `json:"id"`
	// Object is ObjectModel.
	Object string `json:"object"`
	// Created is always 0, because the configuration does not record when a
	// version was added.
	Created int64 `json:"created"`
	// OwnedBy is the name of the serving layer.
	OwnedBy string `json:"owned_by"`
}

// A ModelList is the response to a request for all models.
type ModelList struct {
	// Object is ObjectList.
	Object string `json:"object"`
	// Data are the models.
	Data []Model `json:"data"`
}

// NewModel returns a Model with the given id and constant values in all other fields.
func NewModel(id string) Model {
	return Model{ID: id, Object: ObjectModel, OwnedBy: "persimmonmux"}
}
