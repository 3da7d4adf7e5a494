use super::field::Field;

/// The fields that a kind of object accepts.
#[derive(Debug)]
pub struct Shape {
    /// Name of the kind of object, such as `workspace`.
    pub name: &'static str,
    /// Fields in the order of the reference.
    pub fields: &'static [Field],
}

impl Shape {
    /// Returns a field by name.
    ///
    /// ```
    /// use coriandernotch::fleet;
    ///
    /// assert!(fleet::shape().field("workspaces").is_some());
    /// ```
    pub fn field(&self, name: &str) -> Option<&'static Field> {
        self.fields.iter().find(|field| field.name == name)
    }
}
