/** Checks of values against a JSON Schema, generated from it. */

/** One fault, in the words of JSON Schema. */
export interface SchemaError {
  readonly keyword: string;
  /** Path of the value, as `/spec/target`. */
  readonly instancePath: string;
  readonly message?: string;
  readonly params: Readonly<Record<string, unknown>>;
}

/** True for a valid value; else `errors` holds the faults of this call. */
export interface SchemaValidator {
  (value: unknown): boolean;
  errors?: readonly SchemaError[] | null;
}
