//! Defines an options struct with defaults and one chainable setter for each field.

macro_rules! options {
    (
        $(#[$doc:meta])*
        pub struct $name:ident {
            $( $(#[$field_doc:meta])* $field:ident: $type:ty = $default:expr, )*
        }
    ) => {
        $(#[$doc])*
        #[derive(Debug, Clone)]
        pub struct $name {
            $( $(#[$field_doc])* pub $field: $type, )*
        }

        impl Default for $name {
            fn default() -> Self {
                Self { $( $field: $default, )* }
            }
        }

        impl $name {
            $(
                $(#[$field_doc])*
                #[must_use]
                pub fn $field(mut self, $field: $type) -> Self {
                    self.$field = $field;
                    self
                }
            )*
        }
    };
}
