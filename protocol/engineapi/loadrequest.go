package engineapi

// A LoadRequest is the body of a PathLoad request, which loads an adapter version
// under the name of an instance. It succeeds if the instance is already loaded.
type LoadRequest struct {
	// LoraName is the name of the instance, such as "adapter@3#7".
	LoraName string `json:"lora_name"`
	// LoraPath names the adapter version in the weight store, such as "adapter@3".
	LoraPath string `json:"lora_path"`
}
