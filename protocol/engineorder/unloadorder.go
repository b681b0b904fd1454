package engineorder

// An UnloadOrder frees the slot of an instance.
type UnloadOrder struct {
	// LoraName is the name of the instance.
	LoraName string `json:"lora_name"`
}
