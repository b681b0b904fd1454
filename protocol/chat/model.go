package chat

// The values of the object fields.
const (
	ObjectList  = "list"
	ObjectModel = "model"
)

// A Model is an adapter version in the list of models.
type Model struct {
	// ID is name@version, as requests name it.
	ID string `json:"id"`
	// Object is ObjectModel.
	Object string `json:"object"`
	// Created is zero; the configuration does not record the time.
	Created int64 `json:"created"`
	// OwnedBy names the serving layer.
	OwnedBy string `json:"owned_by"`
}

// A ModelList is the answer to a request for all models.
type ModelList struct {
	// Object is ObjectList.
	Object string `json:"object"`
	// Data holds the models.
	Data []Model `json:"data"`
}

// NewModel returns the Model with the given id.
func NewModel(id string) Model {
	return Model{ID: id, Object: ObjectModel, OwnedBy: "persimmonmux"}
}
