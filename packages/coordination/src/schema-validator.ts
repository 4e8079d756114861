/** Types of the validators that are generated from a JSON Schema. */

/** One validation error, in the terms of JSON Schema. */
export interface SchemaError {
  readonly keyword: string;
  /** JSON Pointer to the invalid value, for example `/spec/target`. */
  readonly instancePath: string;
  readonly message?: string;
  readonly params: Readonly<Record<string, unknown>>;
}

/**
 * Returns whether a value is valid. After a call that returned false, `errors`
 * holds the validation errors of that call.
 */
export interface SchemaValidator {
  (value: unknown): boolean;
  errors?: readonly SchemaError[] | null;
}
