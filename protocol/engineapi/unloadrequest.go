package engineapi

// An UnloadRequest is the body of a PathUnload request, which unloads an instance and
// frees its adapter slot.
type UnloadRequest struct {
	// LoraName is the name of the instance.
	LoraName string `json:"lora_name"`
}
