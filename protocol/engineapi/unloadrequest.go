package engineapi

// An UnloadRequest frees the slot of an instance.
type UnloadRequest struct {
	// LoraName is the name of the instance.
	LoraName string `json:"lora_name"`
}
