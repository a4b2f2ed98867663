//! A macro for the setters of the settings builders.

/// Generates a setter for each listed field of the builder's settings.
macro_rules! setters {
    ($settings:ident { $($field:ident: $type:ty),+ $(,)? }) => {
        $(
            #[doc = concat!("Sets [`", stringify!($settings), "::", stringify!($field), "`].")]
            #[must_use]
            pub fn $field(mut self, $field: $type) -> Self {
                self.settings.$field = $field;
                self
            }
        )+
    };
}

pub(crate) use setters;
