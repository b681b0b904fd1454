package engineapi

// A LoadRequest loads an adapter version under the name of an instance. A repeated
// order for a loaded instance succeeds.
type LoadRequest struct {
	// LoraName is the name of the instance, such as "adapter@3#7".
	LoraName string `json:"lora_name"`
	// LoraPath names the adapter version in the weight store, such as "adapter@3".
	LoraPath string `json:"lora_path"`
}
