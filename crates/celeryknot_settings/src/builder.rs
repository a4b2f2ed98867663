//! The setters that all builders share.

/// Writes one setter for each named field of the builder's settings.
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
