pub mod admin_gen {
    #![allow(warnings, clippy::all)]
    use ::pilota::{Buf as _, BufMut as _};
    pub mod currantbank {
        use ::pilota::{Buf as _, BufMut as _};

        pub mod admin {
            use ::pilota::{Buf as _, BufMut as _};
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct Team {
                pub name: ::pilota::FastStr,

                pub token_digests: ::std::vec::Vec<::pilota::FastStr>,

                pub allowed: ::std::vec::Vec<::pilota::FastStr>,

                pub services: ::std::vec::Vec<::pilota::FastStr>,

                pub max_concurrent: u32,

                pub tokens_per_minute: u64,

                pub weight: u32,
            }
            impl ::pilota::pb::Message for Team {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.name)
                        + ::pilota::pb::encoding::faststr::encoded_len_repeated(
                            ctx,
                            2,
                            &self.token_digests,
                        )
                        + ::pilota::pb::encoding::faststr::encoded_len_repeated(
                            ctx,
                            3,
                            &self.allowed,
                        )
                        + ::pilota::pb::encoding::faststr::encoded_len_repeated(
                            ctx,
                            4,
                            &self.services,
                        )
                        + ::pilota::pb::encoding::uint32::encoded_len(
                            ctx,
                            5,
                            &self.max_concurrent,
                        )
                        + ::pilota::pb::encoding::uint64::encoded_len(
                            ctx,
                            6,
                            &self.tokens_per_minute,
                        )
                        + ::pilota::pb::encoding::uint32::encoded_len(
                            ctx,
                            7,
                            &self.weight,
                        )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.name, buf);
                    ::pilota::pb::encoding::faststr::encode_repeated(
                        2,
                        &self.token_digests,
                        buf,
                    );
                    ::pilota::pb::encoding::faststr::encode_repeated(
                        3,
                        &self.allowed,
                        buf,
                    );
                    ::pilota::pb::encoding::faststr::encode_repeated(
                        4,
                        &self.services,
                        buf,
                    );
                    ::pilota::pb::encoding::uint32::encode(
                        5,
                        &self.max_concurrent,
                        buf,
                    );
                    ::pilota::pb::encoding::uint64::encode(
                        6,
                        &self.tokens_per_minute,
                        buf,
                    );
                    ::pilota::pb::encoding::uint32::encode(7, &self.weight, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Team);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(name));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.token_digests;
                            ::pilota::pb::encoding::faststr::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(token_digests));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.allowed;
                            ::pilota::pb::encoding::faststr::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(allowed));
                                error
                            })
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.services;
                            ::pilota::pb::encoding::faststr::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(services));
                                error
                            })
                        }
                        5 => {
                            let mut _inner_pilota_value = &mut self.max_concurrent;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(max_concurrent));
                                error
                            })
                        }
                        6 => {
                            let mut _inner_pilota_value = &mut self.tokens_per_minute;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(tokens_per_minute));
                                error
                            })
                        }
                        7 => {
                            let mut _inner_pilota_value = &mut self.weight;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(weight));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct ListReply {
                pub objects: ::std::vec::Vec<Listed>,

                pub config_offset: u64,
            }
            impl ::pilota::pb::Message for ListReply {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::message::encoded_len_repeated(
                        ctx,
                        1,
                        &self.objects,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        2,
                        &self.config_offset,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    for msg in &self.objects {
                        ::pilota::pb::encoding::message::encode(1, msg, buf);
                    }
                    ::pilota::pb::encoding::uint64::encode(2, &self.config_offset, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(ListReply);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.objects;
                            ::pilota::pb::encoding::message::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(objects));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.config_offset;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(config_offset));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct ApplyReply {
                pub outcome: Outcome,

                pub offset: u64,

                pub detail: ::pilota::FastStr,

                pub revision: u64,
            }
            impl ::pilota::pb::Message for ApplyReply {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::int32::encoded_len(
                        ctx,
                        1,
                        &self.outcome,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        2,
                        &self.offset,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        3,
                        &self.detail,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        4,
                        &self.revision,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::int32::encode(1, &self.outcome, buf);
                    ::pilota::pb::encoding::uint64::encode(2, &self.offset, buf);
                    ::pilota::pb::encoding::faststr::encode(3, &self.detail, buf);
                    ::pilota::pb::encoding::uint64::encode(4, &self.revision, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(ApplyReply);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.outcome;
                            ::pilota::pb::encoding::int32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(outcome));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.offset;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(offset));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.detail;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(detail));
                                error
                            })
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.revision;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(revision));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct StatusReply {
                pub config_offset: u64,

                pub digest: ::pilota::FastStr,

                pub instances: ::std::vec::Vec<Instance>,

                pub store: ::pilota::FastStr,

                pub bills_held: u64,

                pub claims_pending: u64,
            }
            impl ::pilota::pb::Message for StatusReply {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        1,
                        &self.config_offset,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        2,
                        &self.digest,
                    ) + ::pilota::pb::encoding::message::encoded_len_repeated(
                        ctx,
                        3,
                        &self.instances,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        4,
                        &self.store,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        5,
                        &self.bills_held,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        6,
                        &self.claims_pending,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::uint64::encode(1, &self.config_offset, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.digest, buf);
                    for msg in &self.instances {
                        ::pilota::pb::encoding::message::encode(3, msg, buf);
                    }
                    ::pilota::pb::encoding::faststr::encode(4, &self.store, buf);
                    ::pilota::pb::encoding::uint64::encode(5, &self.bills_held, buf);
                    ::pilota::pb::encoding::uint64::encode(
                        6,
                        &self.claims_pending,
                        buf,
                    );
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(StatusReply);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.config_offset;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(config_offset));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.digest;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(digest));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.instances;
                            ::pilota::pb::encoding::message::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(instances));
                                error
                            })
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.store;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(store));
                                error
                            })
                        }
                        5 => {
                            let mut _inner_pilota_value = &mut self.bills_held;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(bills_held));
                                error
                            })
                        }
                        6 => {
                            let mut _inner_pilota_value = &mut self.claims_pending;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(claims_pending));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct AuditReply {
                pub entries: ::std::vec::Vec<AuditEntry>,
            }
            impl ::pilota::pb::Message for AuditReply {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::message::encoded_len_repeated(
                        ctx,
                        1,
                        &self.entries,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    for msg in &self.entries {
                        ::pilota::pb::encoding::message::encode(1, msg, buf);
                    }
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(AuditReply);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.entries;
                            ::pilota::pb::encoding::message::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(entries));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct Delete {
                pub kind: ::pilota::FastStr,

                pub name: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for Delete {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.kind)
                        + ::pilota::pb::encoding::faststr::encoded_len(
                            ctx, 2, &self.name,
                        )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.kind, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.name, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Delete);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.kind;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(kind));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(name));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct Withdraw {
                pub model: ::pilota::FastStr,

                pub version: ::pilota::FastStr,

                pub let_sessions_finish: bool,
            }
            impl ::pilota::pb::Message for Withdraw {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        1,
                        &self.model,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        2,
                        &self.version,
                    ) + ::pilota::pb::encoding::bool::encoded_len(
                        ctx,
                        3,
                        &self.let_sessions_finish,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.model, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.version, buf);
                    ::pilota::pb::encoding::bool::encode(
                        3,
                        &self.let_sessions_finish,
                        buf,
                    );
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Withdraw);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.model;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(model));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.version;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(version));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.let_sessions_finish;
                            ::pilota::pb::encoding::bool::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error
                                    .push(STRUCT_NAME, stringify!(let_sessions_finish));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct Rollout {
                pub model: ::pilota::FastStr,

                pub to: ::pilota::FastStr,

                pub percents: ::std::vec::Vec<u32>,

                pub gate: ::pilota::FastStr,

                pub step_ms: u64,

                pub step: u32,

                pub state: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for Rollout {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        1,
                        &self.model,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(ctx, 2, &self.to)
                        + ::pilota::pb::encoding::uint32::encoded_len_packed(
                            ctx,
                            3,
                            &self.percents,
                        )
                        + ::pilota::pb::encoding::faststr::encoded_len(
                            ctx, 4, &self.gate,
                        )
                        + ::pilota::pb::encoding::uint64::encoded_len(
                            ctx,
                            5,
                            &self.step_ms,
                        )
                        + ::pilota::pb::encoding::uint32::encoded_len(
                            ctx, 6, &self.step,
                        )
                        + ::pilota::pb::encoding::faststr::encoded_len(
                            ctx,
                            7,
                            &self.state,
                        )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.model, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.to, buf);
                    ::pilota::pb::encoding::uint32::encode_packed(
                        3,
                        &self.percents,
                        buf,
                    );
                    ::pilota::pb::encoding::faststr::encode(4, &self.gate, buf);
                    ::pilota::pb::encoding::uint64::encode(5, &self.step_ms, buf);
                    ::pilota::pb::encoding::uint32::encode(6, &self.step, buf);
                    ::pilota::pb::encoding::faststr::encode(7, &self.state, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Rollout);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.model;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(model));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.to;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(to));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.percents;
                            ::pilota::pb::encoding::uint32::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(percents));
                                error
                            })
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.gate;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(gate));
                                error
                            })
                        }
                        5 => {
                            let mut _inner_pilota_value = &mut self.step_ms;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(step_ms));
                                error
                            })
                        }
                        6 => {
                            let mut _inner_pilota_value = &mut self.step;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(step));
                                error
                            })
                        }
                        7 => {
                            let mut _inner_pilota_value = &mut self.state;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(state));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Debug, Default, Clone, PartialEq)]
            pub struct Version {
                pub model: ::pilota::FastStr,

                pub version: ::pilota::FastStr,

                pub cost_micros_per_ktoken: u64,

                pub quality: f64,

                pub state: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for Version {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        1,
                        &self.model,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        2,
                        &self.version,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        3,
                        &self.cost_micros_per_ktoken,
                    ) + ::pilota::pb::encoding::double::encoded_len(
                        ctx,
                        4,
                        &self.quality,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        5,
                        &self.state,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.model, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.version, buf);
                    ::pilota::pb::encoding::uint64::encode(
                        3,
                        &self.cost_micros_per_ktoken,
                        buf,
                    );
                    ::pilota::pb::encoding::double::encode(4, &self.quality, buf);
                    ::pilota::pb::encoding::faststr::encode(5, &self.state, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Version);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.model;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(model));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.version;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(version));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value =
                                &mut self.cost_micros_per_ktoken;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(
                                    STRUCT_NAME,
                                    stringify!(cost_micros_per_ktoken),
                                );
                                error
                            })
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.quality;
                            ::pilota::pb::encoding::double::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(quality));
                                error
                            })
                        }
                        5 => {
                            let mut _inner_pilota_value = &mut self.state;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(state));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct Instance {
                pub instance: ::pilota::FastStr,

                pub role: ::pilota::FastStr,

                pub room: ::pilota::FastStr,

                pub config_offset: u64,

                pub leaving: bool,

                pub heard_ms: u64,

                pub log_age_ms: u64,

                pub takes_work: bool,
            }
            impl ::pilota::pb::Message for Instance {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        1,
                        &self.instance,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(ctx, 2, &self.role)
                        + ::pilota::pb::encoding::faststr::encoded_len(
                            ctx, 3, &self.room,
                        )
                        + ::pilota::pb::encoding::uint64::encoded_len(
                            ctx,
                            4,
                            &self.config_offset,
                        )
                        + ::pilota::pb::encoding::bool::encoded_len(
                            ctx,
                            5,
                            &self.leaving,
                        )
                        + ::pilota::pb::encoding::uint64::encoded_len(
                            ctx,
                            6,
                            &self.heard_ms,
                        )
                        + ::pilota::pb::encoding::uint64::encoded_len(
                            ctx,
                            7,
                            &self.log_age_ms,
                        )
                        + ::pilota::pb::encoding::bool::encoded_len(
                            ctx,
                            8,
                            &self.takes_work,
                        )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.instance, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.role, buf);
                    ::pilota::pb::encoding::faststr::encode(3, &self.room, buf);
                    ::pilota::pb::encoding::uint64::encode(4, &self.config_offset, buf);
                    ::pilota::pb::encoding::bool::encode(5, &self.leaving, buf);
                    ::pilota::pb::encoding::uint64::encode(6, &self.heard_ms, buf);
                    ::pilota::pb::encoding::uint64::encode(7, &self.log_age_ms, buf);
                    ::pilota::pb::encoding::bool::encode(8, &self.takes_work, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Instance);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.instance;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(instance));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.role;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(role));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.room;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(room));
                                error
                            })
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.config_offset;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(config_offset));
                                error
                            })
                        }
                        5 => {
                            let mut _inner_pilota_value = &mut self.leaving;
                            ::pilota::pb::encoding::bool::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(leaving));
                                error
                            })
                        }
                        6 => {
                            let mut _inner_pilota_value = &mut self.heard_ms;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(heard_ms));
                                error
                            })
                        }
                        7 => {
                            let mut _inner_pilota_value = &mut self.log_age_ms;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(log_age_ms));
                                error
                            })
                        }
                        8 => {
                            let mut _inner_pilota_value = &mut self.takes_work;
                            ::pilota::pb::encoding::bool::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(takes_work));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct Listed {
                pub name: ::pilota::FastStr,

                pub revision: u64,

                pub json: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for Listed {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.name)
                        + ::pilota::pb::encoding::uint64::encoded_len(
                            ctx,
                            2,
                            &self.revision,
                        )
                        + ::pilota::pb::encoding::faststr::encoded_len(
                            ctx, 3, &self.json,
                        )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.name, buf);
                    ::pilota::pb::encoding::uint64::encode(2, &self.revision, buf);
                    ::pilota::pb::encoding::faststr::encode(3, &self.json, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Listed);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(name));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.revision;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(revision));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.json;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(json));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct AuditEntry {
                pub offset: u64,

                pub at_ms: u64,

                pub who: ::pilota::FastStr,

                pub change_id: ::pilota::FastStr,

                pub object: ::pilota::FastStr,

                pub verdict: ::pilota::FastStr,

                pub before: ::pilota::FastStr,

                pub after: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for AuditEntry {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        1,
                        &self.offset,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(ctx, 2, &self.at_ms)
                        + ::pilota::pb::encoding::faststr::encoded_len(
                            ctx, 3, &self.who,
                        )
                        + ::pilota::pb::encoding::faststr::encoded_len(
                            ctx,
                            4,
                            &self.change_id,
                        )
                        + ::pilota::pb::encoding::faststr::encoded_len(
                            ctx,
                            5,
                            &self.object,
                        )
                        + ::pilota::pb::encoding::faststr::encoded_len(
                            ctx,
                            6,
                            &self.verdict,
                        )
                        + ::pilota::pb::encoding::faststr::encoded_len(
                            ctx,
                            7,
                            &self.before,
                        )
                        + ::pilota::pb::encoding::faststr::encoded_len(
                            ctx,
                            8,
                            &self.after,
                        )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::uint64::encode(1, &self.offset, buf);
                    ::pilota::pb::encoding::uint64::encode(2, &self.at_ms, buf);
                    ::pilota::pb::encoding::faststr::encode(3, &self.who, buf);
                    ::pilota::pb::encoding::faststr::encode(4, &self.change_id, buf);
                    ::pilota::pb::encoding::faststr::encode(5, &self.object, buf);
                    ::pilota::pb::encoding::faststr::encode(6, &self.verdict, buf);
                    ::pilota::pb::encoding::faststr::encode(7, &self.before, buf);
                    ::pilota::pb::encoding::faststr::encode(8, &self.after, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(AuditEntry);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.offset;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(offset));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.at_ms;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(at_ms));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.who;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(who));
                                error
                            })
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.change_id;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(change_id));
                                error
                            })
                        }
                        5 => {
                            let mut _inner_pilota_value = &mut self.object;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(object));
                                error
                            })
                        }
                        6 => {
                            let mut _inner_pilota_value = &mut self.verdict;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(verdict));
                                error
                            })
                        }
                        7 => {
                            let mut _inner_pilota_value = &mut self.before;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(before));
                                error
                            })
                        }
                        8 => {
                            let mut _inner_pilota_value = &mut self.after;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(after));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }

            pub trait Admin {
                fn apply(
                    &self,
                    req: ::volo_grpc::Request<ApplyRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<ApplyReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
                fn list(
                    &self,
                    req: ::volo_grpc::Request<ListRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<ListReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
                fn status(
                    &self,
                    req: ::volo_grpc::Request<StatusRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<StatusReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
                fn audit(
                    &self,
                    req: ::volo_grpc::Request<AuditRequest>,
                ) -> impl ::std::future::Future<
                    Output = ::std::result::Result<
                        ::volo_grpc::Response<AuditReply>,
                        ::volo_grpc::Status,
                    >,
                > + Send;
            }

            pub enum AdminRequestSend {
                Apply(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<ApplyRequest, ::volo_grpc::Status>,
                    >,
                ),
                List(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<ListRequest, ::volo_grpc::Status>,
                    >,
                ),
                Status(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<StatusRequest, ::volo_grpc::Status>,
                    >,
                ),
                Audit(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<AuditRequest, ::volo_grpc::Status>,
                    >,
                ),
            }

            impl ::volo_grpc::SendEntryMessage for AdminRequestSend {
                fn into_body(
                    self,
                    compression_encoding: ::std::option::Option<
                        ::volo_grpc::codec::compression::CompressionEncoding,
                    >,
                ) -> ::volo_grpc::BoxStream<
                    'static,
                    ::std::result::Result<
                        ::volo_grpc::codegen::Frame<::volo_grpc::codegen::Bytes>,
                        ::volo_grpc::Status,
                    >,
                > {
                    match self {
                        Self::Apply(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::List(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::Status(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::Audit(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                    }
                }
            }

            pub enum AdminRequestRecv {
                Apply(::volo_grpc::RecvStream<ApplyRequest>),
                List(::volo_grpc::RecvStream<ListRequest>),
                Status(::volo_grpc::RecvStream<StatusRequest>),
                Audit(::volo_grpc::RecvStream<AuditRequest>),
            }

            impl ::volo_grpc::RecvEntryMessage for AdminRequestRecv {
                fn from_body(
                    method: ::std::option::Option<&str>,
                    body: ::volo_grpc::body::BoxBody,
                    kind: ::volo_grpc::codec::decode::Kind,
                    compression_encoding: ::std::option::Option<
                        ::volo_grpc::codec::compression::CompressionEncoding,
                    >,
                ) -> ::std::result::Result<Self, ::volo_grpc::Status> {
                    match method {
                        Some("/currantbank.admin.Admin/Apply") => {
                            ::std::result::Result::Ok(Self::Apply(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/currantbank.admin.Admin/List") => {
                            ::std::result::Result::Ok(Self::List(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/currantbank.admin.Admin/Status") => {
                            ::std::result::Result::Ok(Self::Status(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/currantbank.admin.Admin/Audit") => {
                            ::std::result::Result::Ok(Self::Audit(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        _ => ::std::result::Result::Err(::volo_grpc::Status::new(
                            ::volo_grpc::Code::Unimplemented,
                            "Method not found.",
                        )),
                    }
                }
            }

            pub enum AdminResponseSend {
                Apply(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<ApplyReply, ::volo_grpc::Status>,
                    >,
                ),
                List(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<ListReply, ::volo_grpc::Status>,
                    >,
                ),
                Status(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<StatusReply, ::volo_grpc::Status>,
                    >,
                ),
                Audit(
                    ::volo_grpc::BoxStream<
                        'static,
                        ::std::result::Result<AuditReply, ::volo_grpc::Status>,
                    >,
                ),
            }

            impl ::volo_grpc::SendEntryMessage for AdminResponseSend {
                fn into_body(
                    self,
                    compression_encoding: ::std::option::Option<
                        ::volo_grpc::codec::compression::CompressionEncoding,
                    >,
                ) -> ::volo_grpc::BoxStream<
                    'static,
                    ::std::result::Result<
                        ::volo_grpc::codegen::Frame<::volo_grpc::codegen::Bytes>,
                        ::volo_grpc::Status,
                    >,
                > {
                    match self {
                        Self::Apply(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::List(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::Status(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                        Self::Audit(s) => {
                            ::volo_grpc::codec::encode::encode(s, compression_encoding)
                        }
                    }
                }
            }

            pub enum AdminResponseRecv {
                Apply(::volo_grpc::RecvStream<ApplyReply>),
                List(::volo_grpc::RecvStream<ListReply>),
                Status(::volo_grpc::RecvStream<StatusReply>),
                Audit(::volo_grpc::RecvStream<AuditReply>),
            }

            impl ::volo_grpc::RecvEntryMessage for AdminResponseRecv {
                fn from_body(
                    method: ::std::option::Option<&str>,
                    body: ::volo_grpc::body::BoxBody,
                    kind: ::volo_grpc::codec::decode::Kind,
                    compression_encoding: ::std::option::Option<
                        ::volo_grpc::codec::compression::CompressionEncoding,
                    >,
                ) -> ::std::result::Result<Self, ::volo_grpc::Status>
                where
                    Self: ::core::marker::Sized,
                {
                    match method {
                        Some("/currantbank.admin.Admin/Apply") => {
                            ::std::result::Result::Ok(Self::Apply(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/currantbank.admin.Admin/List") => {
                            ::std::result::Result::Ok(Self::List(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/currantbank.admin.Admin/Status") => {
                            ::std::result::Result::Ok(Self::Status(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        Some("/currantbank.admin.Admin/Audit") => {
                            ::std::result::Result::Ok(Self::Audit(
                                ::volo_grpc::RecvStream::new(
                                    body,
                                    kind,
                                    compression_encoding,
                                ),
                            ))
                        }
                        _ => ::std::result::Result::Err(::volo_grpc::Status::new(
                            ::volo_grpc::Code::Unimplemented,
                            "Method not found.",
                        )),
                    }
                }
            }

            pub struct AdminClientBuilder {}
            impl AdminClientBuilder {
                pub fn new(
                    service_name: impl AsRef<str>,
                ) -> ::volo_grpc::client::ClientBuilder<
                    ::volo::layer::Identity,
                    ::volo::layer::Identity,
                    MkAdminGenericClient,
                    ::volo_grpc::layer::loadbalance::LbConfig<
                        ::volo::loadbalance::random::WeightedRandomBalance<
                            (::volo::FastStr),
                        >,
                        ::volo_grpc::client::dns::DnsResolver,
                    >,
                    AdminRequestSend,
                    AdminResponseRecv,
                > {
                    ::volo_grpc::client::ClientBuilder::new(
                        MkAdminGenericClient,
                        service_name,
                    )
                }
            }

            pub struct MkAdminGenericClient;

            pub type AdminClient = AdminGenericClient<
                ::volo::service::BoxCloneService<
                    ::volo_grpc::context::ClientContext,
                    ::volo_grpc::Request<AdminRequestSend>,
                    ::volo_grpc::Response<AdminResponseRecv>,
                    ::volo_grpc::Status,
                >,
            >;

            impl<S> ::volo::client::MkClient<::volo_grpc::Client<S>> for MkAdminGenericClient {
                type Target = AdminGenericClient<S>;
                fn mk_client(&self, service: ::volo_grpc::Client<S>) -> Self::Target {
                    AdminGenericClient(service)
                }
            }

            #[derive(Clone)]
            pub struct AdminGenericClient<S>(pub ::volo_grpc::Client<S>);

            pub struct AdminOneShotClient<S>(pub ::volo_grpc::Client<S>);

            impl<S> AdminGenericClient<S>
            where
                S: ::volo::service::Service<
                        ::volo_grpc::context::ClientContext,
                        ::volo_grpc::Request<AdminRequestSend>,
                        Response = ::volo_grpc::Response<AdminResponseRecv>,
                        Error = ::volo_grpc::Status,
                    > + Sync
                    + Send
                    + 'static,
            {
                pub fn with_callopt<
                    Opt: ::volo::client::Apply<::volo_grpc::context::ClientContext>,
                >(
                    self,
                    opt: Opt,
                ) -> AdminOneShotClient<::volo::client::WithOptService<S, Opt>>
                {
                    AdminOneShotClient(self.0.with_opt(opt))
                }

                pub async fn apply(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<ApplyRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<ApplyReply>,
                    ::volo_grpc::Status,
                > {
                    let req =
                        requests
                            .into_request()
                            .map(|m| {
                                ::volo_grpc::codegen::futures::stream::once(
                                    ::volo_grpc::codegen::futures::future::ready(
                                        ::std::result::Result::Ok(m),
                                    ),
                                )
                            })
                            .map(|message| {
                                AdminRequestSend::Apply(
                                    ::std::boxed::Box::pin(message) as _
                                )
                            });
                    let mut cx = self.0.make_cx("/currantbank.admin.Admin/Apply");

                    let resp = ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Apply(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message =
                        ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                            .await
                            .map_err(|mut status| {
                                status.metadata_mut().merge(metadata.clone());
                                status
                            })?
                            .ok_or_else(|| {
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Internal,
                                    "Missing response message.",
                                )
                            })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn list(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<ListRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<ListReply>,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::List(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/currantbank.admin.Admin/List");

                    let resp = ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::List(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message =
                        ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                            .await
                            .map_err(|mut status| {
                                status.metadata_mut().merge(metadata.clone());
                                status
                            })?
                            .ok_or_else(|| {
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Internal,
                                    "Missing response message.",
                                )
                            })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn status(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<StatusRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<StatusReply>,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::Status(
                                ::std::boxed::Box::pin(message) as _
                            )
                        });
                    let mut cx = self.0.make_cx("/currantbank.admin.Admin/Status");

                    let resp = ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Status(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message =
                        ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                            .await
                            .map_err(|mut status| {
                                status.metadata_mut().merge(metadata.clone());
                                status
                            })?
                            .ok_or_else(|| {
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Internal,
                                    "Missing response message.",
                                )
                            })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn audit(
                    &self,
                    requests: impl ::volo_grpc::IntoRequest<AuditRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<AuditReply>,
                    ::volo_grpc::Status,
                > {
                    let req =
                        requests
                            .into_request()
                            .map(|m| {
                                ::volo_grpc::codegen::futures::stream::once(
                                    ::volo_grpc::codegen::futures::future::ready(
                                        ::std::result::Result::Ok(m),
                                    ),
                                )
                            })
                            .map(|message| {
                                AdminRequestSend::Audit(
                                    ::std::boxed::Box::pin(message) as _
                                )
                            });
                    let mut cx = self.0.make_cx("/currantbank.admin.Admin/Audit");

                    let resp = ::volo::Service::call(&self.0, &mut cx, req).await?;
                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Audit(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message =
                        ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                            .await
                            .map_err(|mut status| {
                                status.metadata_mut().merge(metadata.clone());
                                status
                            })?
                            .ok_or_else(|| {
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Internal,
                                    "Missing response message.",
                                )
                            })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
            }

            impl<
                S: ::volo::client::OneShotService<
                        ::volo_grpc::context::ClientContext,
                        ::volo_grpc::Request<AdminRequestSend>,
                        Response = ::volo_grpc::Response<AdminResponseRecv>,
                        Error = ::volo_grpc::Status,
                    > + Send
                    + Sync
                    + 'static,
            > AdminOneShotClient<S>
            {
                pub async fn apply(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<ApplyRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<ApplyReply>,
                    ::volo_grpc::Status,
                > {
                    let req =
                        requests
                            .into_request()
                            .map(|m| {
                                ::volo_grpc::codegen::futures::stream::once(
                                    ::volo_grpc::codegen::futures::future::ready(
                                        ::std::result::Result::Ok(m),
                                    ),
                                )
                            })
                            .map(|message| {
                                AdminRequestSend::Apply(
                                    ::std::boxed::Box::pin(message) as _
                                )
                            });
                    let mut cx = self.0.make_cx("/currantbank.admin.Admin/Apply");

                    let resp =
                        ::volo::client::OneShotService::call(self.0, &mut cx, req)
                            .await?;

                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Apply(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message =
                        ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                            .await
                            .map_err(|mut status| {
                                status.metadata_mut().merge(metadata.clone());
                                status
                            })?
                            .ok_or_else(|| {
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Internal,
                                    "Missing response message.",
                                )
                            })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn list(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<ListRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<ListReply>,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::List(::std::boxed::Box::pin(message) as _)
                        });
                    let mut cx = self.0.make_cx("/currantbank.admin.Admin/List");

                    let resp =
                        ::volo::client::OneShotService::call(self.0, &mut cx, req)
                            .await?;

                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::List(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message =
                        ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                            .await
                            .map_err(|mut status| {
                                status.metadata_mut().merge(metadata.clone());
                                status
                            })?
                            .ok_or_else(|| {
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Internal,
                                    "Missing response message.",
                                )
                            })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn status(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<StatusRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<StatusReply>,
                    ::volo_grpc::Status,
                > {
                    let req = requests
                        .into_request()
                        .map(|m| {
                            ::volo_grpc::codegen::futures::stream::once(
                                ::volo_grpc::codegen::futures::future::ready(
                                    ::std::result::Result::Ok(m),
                                ),
                            )
                        })
                        .map(|message| {
                            AdminRequestSend::Status(
                                ::std::boxed::Box::pin(message) as _
                            )
                        });
                    let mut cx = self.0.make_cx("/currantbank.admin.Admin/Status");

                    let resp =
                        ::volo::client::OneShotService::call(self.0, &mut cx, req)
                            .await?;

                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Status(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message =
                        ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                            .await
                            .map_err(|mut status| {
                                status.metadata_mut().merge(metadata.clone());
                                status
                            })?
                            .ok_or_else(|| {
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Internal,
                                    "Missing response message.",
                                )
                            })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
                pub async fn audit(
                    self,
                    requests: impl ::volo_grpc::IntoRequest<AuditRequest>,
                ) -> ::std::result::Result<
                    ::volo_grpc::Response<AuditReply>,
                    ::volo_grpc::Status,
                > {
                    let req =
                        requests
                            .into_request()
                            .map(|m| {
                                ::volo_grpc::codegen::futures::stream::once(
                                    ::volo_grpc::codegen::futures::future::ready(
                                        ::std::result::Result::Ok(m),
                                    ),
                                )
                            })
                            .map(|message| {
                                AdminRequestSend::Audit(
                                    ::std::boxed::Box::pin(message) as _
                                )
                            });
                    let mut cx = self.0.make_cx("/currantbank.admin.Admin/Audit");

                    let resp =
                        ::volo::client::OneShotService::call(self.0, &mut cx, req)
                            .await?;

                    let (mut metadata, extensions, message_stream) = resp.into_parts();
                    let mut message_stream = match message_stream {
                        AdminResponseRecv::Audit(stream) => stream,
                        #[allow(unreachable_patterns)]
                        _ => {
                            return ::std::result::Result::Err(
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Unimplemented,
                                    "Method not found.",
                                ),
                            );
                        }
                    };
                    let message =
                        ::volo_grpc::codegen::StreamExt::try_next(&mut message_stream)
                            .await
                            .map_err(|mut status| {
                                status.metadata_mut().merge(metadata.clone());
                                status
                            })?
                            .ok_or_else(|| {
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Internal,
                                    "Missing response message.",
                                )
                            })?;
                    if let Some(trailers) = message_stream.trailers().await? {
                        metadata.merge(trailers);
                    }
                    ::std::result::Result::Ok(::volo_grpc::Response::from_parts(
                        metadata, extensions, message,
                    ))
                }
            }

            pub struct AdminServer<S> {
                inner: ::std::sync::Arc<S>,
            }

            impl<S> Clone for AdminServer<S> {
                fn clone(&self) -> Self {
                    AdminServer {
                        inner: self.inner.clone(),
                    }
                }
            }

            impl<S> AdminServer<S> {
                pub fn new(inner: S) -> Self {
                    Self::from_arc(::std::sync::Arc::new(inner))
                }

                pub fn from_arc(inner: ::std::sync::Arc<S>) -> Self {
                    Self { inner }
                }
            }

            impl<S>
                ::volo::service::Service<
                    ::volo_grpc::context::ServerContext,
                    ::volo_grpc::Request<AdminRequestRecv>,
                > for AdminServer<S>
            where
                S: Admin + ::core::marker::Send + ::core::marker::Sync + 'static,
            {
                type Response = ::volo_grpc::Response<AdminResponseSend>;
                type Error = ::volo_grpc::status::Status;

                async fn call<'s, 'cx>(
                    &'s self,
                    cx: &'cx mut ::volo_grpc::context::ServerContext,
                    req: ::volo_grpc::Request<AdminRequestRecv>,
                ) -> ::std::result::Result<Self::Response, Self::Error>
                {
                    let inner = self.inner.clone();
                    match cx.rpc_info.method().as_str() {
                        "/currantbank.admin.Admin/Apply" => {
                            let (mut metadata, extensions, message_stream) =
                                req.into_parts();
                            let mut message_stream = match message_stream {
                                AdminRequestRecv::Apply(stream) => stream,
                                #[allow(unreachable_patterns)]
                                _ => {
                                    return ::std::result::Result::Err(
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Unimplemented,
                                            "Method not found.",
                                        ),
                                    );
                                }
                            };
                            ::volo_grpc::codegen::futures::pin_mut!(message_stream);
                            let message = ::volo_grpc::codegen::StreamExt::try_next(
                                &mut message_stream,
                            )
                            .await?
                            .ok_or_else(|| {
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Internal,
                                    "Missing request message.",
                                )
                            })?;
                            if let Some(trailers) = message_stream.trailers().await? {
                                metadata.merge(trailers);
                            }
                            let req = ::volo_grpc::Request::from_parts(
                                metadata, extensions, message,
                            );
                            let resp = inner.apply(req).await;
                            resp.map(|r| {
                                r.map(|m| {
                                    AdminResponseSend::Apply(::std::boxed::Box::pin(
                                        ::volo_grpc::codegen::futures::stream::once(
                                            ::volo_grpc::codegen::futures::future::ok(
                                                m,
                                            ),
                                        ),
                                    ))
                                })
                            })
                        }
                        "/currantbank.admin.Admin/List" => {
                            let (mut metadata, extensions, message_stream) =
                                req.into_parts();
                            let mut message_stream = match message_stream {
                                AdminRequestRecv::List(stream) => stream,
                                #[allow(unreachable_patterns)]
                                _ => {
                                    return ::std::result::Result::Err(
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Unimplemented,
                                            "Method not found.",
                                        ),
                                    );
                                }
                            };
                            ::volo_grpc::codegen::futures::pin_mut!(message_stream);
                            let message = ::volo_grpc::codegen::StreamExt::try_next(
                                &mut message_stream,
                            )
                            .await?
                            .ok_or_else(|| {
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Internal,
                                    "Missing request message.",
                                )
                            })?;
                            if let Some(trailers) = message_stream.trailers().await? {
                                metadata.merge(trailers);
                            }
                            let req = ::volo_grpc::Request::from_parts(
                                metadata, extensions, message,
                            );
                            let resp = inner.list(req).await;
                            resp.map(|r| {
                                r.map(|m| {
                                    AdminResponseSend::List(::std::boxed::Box::pin(
                                        ::volo_grpc::codegen::futures::stream::once(
                                            ::volo_grpc::codegen::futures::future::ok(
                                                m,
                                            ),
                                        ),
                                    ))
                                })
                            })
                        }
                        "/currantbank.admin.Admin/Status" => {
                            let (mut metadata, extensions, message_stream) =
                                req.into_parts();
                            let mut message_stream = match message_stream {
                                AdminRequestRecv::Status(stream) => stream,
                                #[allow(unreachable_patterns)]
                                _ => {
                                    return ::std::result::Result::Err(
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Unimplemented,
                                            "Method not found.",
                                        ),
                                    );
                                }
                            };
                            ::volo_grpc::codegen::futures::pin_mut!(message_stream);
                            let message = ::volo_grpc::codegen::StreamExt::try_next(
                                &mut message_stream,
                            )
                            .await?
                            .ok_or_else(|| {
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Internal,
                                    "Missing request message.",
                                )
                            })?;
                            if let Some(trailers) = message_stream.trailers().await? {
                                metadata.merge(trailers);
                            }
                            let req = ::volo_grpc::Request::from_parts(
                                metadata, extensions, message,
                            );
                            let resp = inner.status(req).await;
                            resp.map(|r| {
                                r.map(|m| {
                                    AdminResponseSend::Status(::std::boxed::Box::pin(
                                        ::volo_grpc::codegen::futures::stream::once(
                                            ::volo_grpc::codegen::futures::future::ok(
                                                m,
                                            ),
                                        ),
                                    ))
                                })
                            })
                        }
                        "/currantbank.admin.Admin/Audit" => {
                            let (mut metadata, extensions, message_stream) =
                                req.into_parts();
                            let mut message_stream = match message_stream {
                                AdminRequestRecv::Audit(stream) => stream,
                                #[allow(unreachable_patterns)]
                                _ => {
                                    return ::std::result::Result::Err(
                                        ::volo_grpc::Status::new(
                                            ::volo_grpc::Code::Unimplemented,
                                            "Method not found.",
                                        ),
                                    );
                                }
                            };
                            ::volo_grpc::codegen::futures::pin_mut!(message_stream);
                            let message = ::volo_grpc::codegen::StreamExt::try_next(
                                &mut message_stream,
                            )
                            .await?
                            .ok_or_else(|| {
                                ::volo_grpc::Status::new(
                                    ::volo_grpc::Code::Internal,
                                    "Missing request message.",
                                )
                            })?;
                            if let Some(trailers) = message_stream.trailers().await? {
                                metadata.merge(trailers);
                            }
                            let req = ::volo_grpc::Request::from_parts(
                                metadata, extensions, message,
                            );
                            let resp = inner.audit(req).await;
                            resp.map(|r| {
                                r.map(|m| {
                                    AdminResponseSend::Audit(::std::boxed::Box::pin(
                                        ::volo_grpc::codegen::futures::stream::once(
                                            ::volo_grpc::codegen::futures::future::ok(
                                                m,
                                            ),
                                        ),
                                    ))
                                })
                            })
                        }
                        path => {
                            let path = path.to_string();
                            ::std::result::Result::Err(
                                ::volo_grpc::Status::unimplemented(::std::format!(
                                    "Unimplemented http path: {}",
                                    path
                                )),
                            )
                        }
                    }
                }
            }

            impl<S: Admin> ::volo_grpc::server::NamedService for AdminServer<S> {
                const NAME: &'static str = "currantbank.admin.Admin";
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct RolloutControl {
                pub model: ::pilota::FastStr,

                pub action: ::pilota::FastStr,

                pub reason: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for RolloutControl {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        1,
                        &self.model,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        2,
                        &self.action,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        3,
                        &self.reason,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.model, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.action, buf);
                    ::pilota::pb::encoding::faststr::encode(3, &self.reason, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(RolloutControl);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.model;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(model));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.action;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(action));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.reason;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(reason));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Debug, Default, Clone, PartialEq)]
            pub struct Cascade {
                pub name: ::pilota::FastStr,

                pub steps: ::std::vec::Vec<Step>,
            }
            impl ::pilota::pb::Message for Cascade {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.name)
                        + ::pilota::pb::encoding::message::encoded_len_repeated(
                            ctx,
                            2,
                            &self.steps,
                        )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.name, buf);
                    for msg in &self.steps {
                        ::pilota::pb::encoding::message::encode(2, msg, buf);
                    }
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Cascade);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(name));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.steps;
                            ::pilota::pb::encoding::message::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(steps));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct Model {
                pub name: ::pilota::FastStr,

                pub serving: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for Model {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.name)
                        + ::pilota::pb::encoding::faststr::encoded_len(
                            ctx,
                            2,
                            &self.serving,
                        )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.name, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.serving, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Model);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(name));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.serving;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(serving));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct Placement {
                pub endpoint: ::pilota::FastStr,

                pub versions: ::std::vec::Vec<::pilota::FastStr>,
            }
            impl ::pilota::pb::Message for Placement {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        1,
                        &self.endpoint,
                    ) + ::pilota::pb::encoding::faststr::encoded_len_repeated(
                        ctx,
                        2,
                        &self.versions,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.endpoint, buf);
                    ::pilota::pb::encoding::faststr::encode_repeated(
                        2,
                        &self.versions,
                        buf,
                    );
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Placement);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.endpoint;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(endpoint));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.versions;
                            ::pilota::pb::encoding::faststr::merge_repeated(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(versions));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(
                PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq, Copy,
            )]
            #[repr(transparent)]
            pub struct Outcome(i32);

            impl Outcome {
                pub const UNSPECIFIED: Self = Self(0);
                pub const ACCEPTED: Self = Self(1);
                pub const CONFLICT: Self = Self(2);
                pub const UNKNOWN: Self = Self(3);
                pub const INVALID: Self = Self(4);

                pub fn inner(&self) -> i32 {
                    self.0
                }

                pub fn to_string(&self) -> ::std::string::String {
                    match self {
                        Self(0) => ::std::string::String::from("UNSPECIFIED"),
                        Self(1) => ::std::string::String::from("ACCEPTED"),
                        Self(2) => ::std::string::String::from("CONFLICT"),
                        Self(3) => ::std::string::String::from("UNKNOWN"),
                        Self(4) => ::std::string::String::from("INVALID"),
                        Self(val) => val.to_string(),
                    }
                }

                pub fn try_from_i32(value: i32) -> ::std::option::Option<Self> {
                    match value {
                        0 => ::std::option::Option::Some(Self::UNSPECIFIED),
                        1 => ::std::option::Option::Some(Self::ACCEPTED),
                        2 => ::std::option::Option::Some(Self::CONFLICT),
                        3 => ::std::option::Option::Some(Self::UNKNOWN),
                        4 => ::std::option::Option::Some(Self::INVALID),
                        _ => ::std::option::Option::None,
                    }
                }
            }

            impl ::std::convert::From<i32> for Outcome {
                fn from(value: i32) -> Self {
                    Self(value)
                }
            }

            impl ::std::convert::From<Outcome> for i32 {
                fn from(value: Outcome) -> i32 {
                    value.0
                }
            }

            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct ListRequest {
                pub kind: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for ListRequest {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.kind)
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.kind, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(ListRequest);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.kind;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(kind));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct StatusRequest {}
            impl ::pilota::pb::Message for StatusRequest {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {}

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    match tag {
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct AuditRequest {
                pub who: ::pilota::FastStr,

                pub object: ::pilota::FastStr,

                pub since_ms: u64,

                pub limit: u32,
            }
            impl ::pilota::pb::Message for AuditRequest {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.who)
                        + ::pilota::pb::encoding::faststr::encoded_len(
                            ctx,
                            2,
                            &self.object,
                        )
                        + ::pilota::pb::encoding::uint64::encoded_len(
                            ctx,
                            3,
                            &self.since_ms,
                        )
                        + ::pilota::pb::encoding::uint32::encoded_len(
                            ctx,
                            4,
                            &self.limit,
                        )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.who, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.object, buf);
                    ::pilota::pb::encoding::uint64::encode(3, &self.since_ms, buf);
                    ::pilota::pb::encoding::uint32::encode(4, &self.limit, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(AuditRequest);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.who;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(who));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.object;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(object));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.since_ms;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(since_ms));
                                error
                            })
                        }
                        4 => {
                            let mut _inner_pilota_value = &mut self.limit;
                            ::pilota::pb::encoding::uint32::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(limit));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Debug, Default, Clone, PartialEq)]
            pub struct ApplyRequest {
                pub change_id: ::pilota::FastStr,

                pub expected_revision: u64,

                pub change: ::std::option::Option<apply_request::Change>,
            }
            impl ::pilota::pb::Message for ApplyRequest {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        1,
                        &self.change_id,
                    ) + ::pilota::pb::encoding::uint64::encoded_len(
                        ctx,
                        2,
                        &self.expected_revision,
                    ) + self.change.as_ref().map_or(0, |msg| msg.encoded_len(ctx))
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.change_id, buf);
                    ::pilota::pb::encoding::uint64::encode(
                        2,
                        &self.expected_revision,
                        buf,
                    );
                    if let ::std::option::Option::Some(_pilota_inner_value) =
                        self.change.as_ref()
                    {
                        _pilota_inner_value.encode(buf);
                    }
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(ApplyRequest);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.change_id;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(change_id));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.expected_revision;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(expected_revision));
                                error
                            })
                        }
                        10 | 11 | 12 | 13 | 14 | 15 | 16 | 17 | 18 | 19 | 20 => {
                            let mut _inner_pilota_value = &mut self.change;
                            apply_request::Change::merge(
                                _inner_pilota_value,
                                tag,
                                wire_type,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(change));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct Reinstate {
                pub model: ::pilota::FastStr,

                pub version: ::pilota::FastStr,
            }
            impl ::pilota::pb::Message for Reinstate {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        1,
                        &self.model,
                    ) + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        2,
                        &self.version,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.model, buf);
                    ::pilota::pb::encoding::faststr::encode(2, &self.version, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Reinstate);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.model;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(model));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.version;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(version));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Hash, Eq, Ord, Debug, Default, Clone, PartialEq)]
            pub struct Service {
                pub name: ::pilota::FastStr,

                pub idempotent: bool,

                pub cost_micros: u64,
            }
            impl ::pilota::pb::Message for Service {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(ctx, 1, &self.name)
                        + ::pilota::pb::encoding::bool::encoded_len(
                            ctx,
                            2,
                            &self.idempotent,
                        )
                        + ::pilota::pb::encoding::uint64::encoded_len(
                            ctx,
                            3,
                            &self.cost_micros,
                        )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.name, buf);
                    ::pilota::pb::encoding::bool::encode(2, &self.idempotent, buf);
                    ::pilota::pb::encoding::uint64::encode(3, &self.cost_micros, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Service);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.name;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(name));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.idempotent;
                            ::pilota::pb::encoding::bool::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(idempotent));
                                error
                            })
                        }
                        3 => {
                            let mut _inner_pilota_value = &mut self.cost_micros;
                            ::pilota::pb::encoding::uint64::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(cost_micros));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }
            #[derive(PartialOrd, Debug, Default, Clone, PartialEq)]
            pub struct Step {
                pub model: ::pilota::FastStr,

                pub pass_rating: f64,
            }
            impl ::pilota::pb::Message for Step {
                #[inline]
                fn encoded_len(
                    &self,
                    ctx: &mut ::pilota::pb::EncodeLengthContext,
                ) -> usize {
                    0 + ::pilota::pb::encoding::faststr::encoded_len(
                        ctx,
                        1,
                        &self.model,
                    ) + ::pilota::pb::encoding::double::encoded_len(
                        ctx,
                        2,
                        &self.pass_rating,
                    )
                }

                #[allow(unused_variables)]
                fn encode_raw(&self, buf: &mut ::pilota::LinkedBytes) {
                    ::pilota::pb::encoding::faststr::encode(1, &self.model, buf);
                    ::pilota::pb::encoding::double::encode(2, &self.pass_rating, buf);
                }

                #[allow(unused_variables)]
                fn merge_field(
                    &mut self,
                    tag: u32,
                    wire_type: ::pilota::pb::encoding::WireType,
                    buf: &mut ::pilota::Bytes,
                    ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    is_root: bool,
                ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                {
                    const STRUCT_NAME: &'static str = stringify!(Step);

                    match tag {
                        1 => {
                            let mut _inner_pilota_value = &mut self.model;
                            ::pilota::pb::encoding::faststr::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(model));
                                error
                            })
                        }
                        2 => {
                            let mut _inner_pilota_value = &mut self.pass_rating;
                            ::pilota::pb::encoding::double::merge(
                                wire_type,
                                _inner_pilota_value,
                                buf,
                                ctx,
                            )
                            .map_err(|mut error| {
                                error.push(STRUCT_NAME, stringify!(pass_rating));
                                error
                            })
                        }
                        _ => {
                            ::pilota::pb::encoding::skip_field(wire_type, tag, buf, ctx)
                        }
                    }
                }
            }

            pub mod apply_request {
                use ::pilota::{Buf as _, BufMut as _};

                impl ::std::default::Default for Change {
                    fn default() -> Self {
                        Change::Team(::std::default::Default::default())
                    }
                }
                #[derive(PartialOrd, Debug, Clone, PartialEq)]
                pub enum Change {
                    Team(super::Team),

                    Model(super::Model),

                    Version(super::Version),

                    Cascade(super::Cascade),

                    Rollout(super::Rollout),

                    Service(super::Service),

                    Withdraw(super::Withdraw),

                    Reinstate(super::Reinstate),

                    RolloutControl(super::RolloutControl),

                    Delete(super::Delete),

                    Placement(super::Placement),
                }

                impl Change {
                    pub fn encode(&self, buf: &mut ::pilota::LinkedBytes) {
                        match self {
                            Change::Team(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    10,
                                    (&*value),
                                    buf,
                                );
                            }
                            Change::Model(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    11,
                                    (&*value),
                                    buf,
                                );
                            }
                            Change::Version(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    12,
                                    (&*value),
                                    buf,
                                );
                            }
                            Change::Cascade(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    13,
                                    (&*value),
                                    buf,
                                );
                            }
                            Change::Rollout(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    14,
                                    (&*value),
                                    buf,
                                );
                            }
                            Change::Service(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    15,
                                    (&*value),
                                    buf,
                                );
                            }
                            Change::Withdraw(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    16,
                                    (&*value),
                                    buf,
                                );
                            }
                            Change::Reinstate(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    17,
                                    (&*value),
                                    buf,
                                );
                            }
                            Change::RolloutControl(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    18,
                                    (&*value),
                                    buf,
                                );
                            }
                            Change::Delete(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    19,
                                    (&*value),
                                    buf,
                                );
                            }
                            Change::Placement(value) => {
                                ::pilota::pb::encoding::message::encode(
                                    20,
                                    (&*value),
                                    buf,
                                );
                            }
                        }
                    }

                    #[inline]
                    pub fn encoded_len(
                        &self,
                        ctx: &mut ::pilota::pb::EncodeLengthContext,
                    ) -> usize {
                        match self {
                            Change::Team(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 10, &*value,
                                )
                            }
                            Change::Model(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 11, &*value,
                                )
                            }
                            Change::Version(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 12, &*value,
                                )
                            }
                            Change::Cascade(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 13, &*value,
                                )
                            }
                            Change::Rollout(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 14, &*value,
                                )
                            }
                            Change::Service(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 15, &*value,
                                )
                            }
                            Change::Withdraw(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 16, &*value,
                                )
                            }
                            Change::Reinstate(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 17, &*value,
                                )
                            }
                            Change::RolloutControl(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 18, &*value,
                                )
                            }
                            Change::Delete(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 19, &*value,
                                )
                            }
                            Change::Placement(value) => {
                                ::pilota::pb::encoding::message::encoded_len(
                                    ctx, 20, &*value,
                                )
                            }
                        }
                    }

                    #[inline]
                    pub fn merge(
                        field: &mut ::core::option::Option<Self>,
                        tag: u32,
                        wire_type: ::pilota::pb::encoding::WireType,
                        buf: &mut ::pilota::Bytes,
                        ctx: &mut ::pilota::pb::encoding::DecodeContext,
                    ) -> ::core::result::Result<(), ::pilota::pb::DecodeError>
                    {
                        match tag {
                            10 => match field {
                                ::core::option::Option::Some(Change::Team(value)) => {
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                }
                                _ => {
                                    let mut owned_value =
                                        ::core::default::Default::default();
                                    let value = &mut owned_value;
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                    *field = ::core::option::Option::Some(
                                        Change::Team(owned_value),
                                    );
                                }
                            },
                            11 => match field {
                                ::core::option::Option::Some(Change::Model(value)) => {
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                }
                                _ => {
                                    let mut owned_value =
                                        ::core::default::Default::default();
                                    let value = &mut owned_value;
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                    *field = ::core::option::Option::Some(
                                        Change::Model(owned_value),
                                    );
                                }
                            },
                            12 => match field {
                                ::core::option::Option::Some(Change::Version(
                                    value,
                                )) => {
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                }
                                _ => {
                                    let mut owned_value =
                                        ::core::default::Default::default();
                                    let value = &mut owned_value;
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                    *field = ::core::option::Option::Some(
                                        Change::Version(owned_value),
                                    );
                                }
                            },
                            13 => match field {
                                ::core::option::Option::Some(Change::Cascade(
                                    value,
                                )) => {
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                }
                                _ => {
                                    let mut owned_value =
                                        ::core::default::Default::default();
                                    let value = &mut owned_value;
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                    *field = ::core::option::Option::Some(
                                        Change::Cascade(owned_value),
                                    );
                                }
                            },
                            14 => match field {
                                ::core::option::Option::Some(Change::Rollout(
                                    value,
                                )) => {
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                }
                                _ => {
                                    let mut owned_value =
                                        ::core::default::Default::default();
                                    let value = &mut owned_value;
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                    *field = ::core::option::Option::Some(
                                        Change::Rollout(owned_value),
                                    );
                                }
                            },
                            15 => match field {
                                ::core::option::Option::Some(Change::Service(
                                    value,
                                )) => {
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                }
                                _ => {
                                    let mut owned_value =
                                        ::core::default::Default::default();
                                    let value = &mut owned_value;
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                    *field = ::core::option::Option::Some(
                                        Change::Service(owned_value),
                                    );
                                }
                            },
                            16 => match field {
                                ::core::option::Option::Some(Change::Withdraw(
                                    value,
                                )) => {
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                }
                                _ => {
                                    let mut owned_value =
                                        ::core::default::Default::default();
                                    let value = &mut owned_value;
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                    *field = ::core::option::Option::Some(
                                        Change::Withdraw(owned_value),
                                    );
                                }
                            },
                            17 => match field {
                                ::core::option::Option::Some(Change::Reinstate(
                                    value,
                                )) => {
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                }
                                _ => {
                                    let mut owned_value =
                                        ::core::default::Default::default();
                                    let value = &mut owned_value;
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                    *field = ::core::option::Option::Some(
                                        Change::Reinstate(owned_value),
                                    );
                                }
                            },
                            18 => match field {
                                ::core::option::Option::Some(
                                    Change::RolloutControl(value),
                                ) => {
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                }
                                _ => {
                                    let mut owned_value =
                                        ::core::default::Default::default();
                                    let value = &mut owned_value;
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                    *field = ::core::option::Option::Some(
                                        Change::RolloutControl(owned_value),
                                    );
                                }
                            },
                            19 => match field {
                                ::core::option::Option::Some(Change::Delete(value)) => {
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                }
                                _ => {
                                    let mut owned_value =
                                        ::core::default::Default::default();
                                    let value = &mut owned_value;
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                    *field = ::core::option::Option::Some(
                                        Change::Delete(owned_value),
                                    );
                                }
                            },
                            20 => match field {
                                ::core::option::Option::Some(Change::Placement(
                                    value,
                                )) => {
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                }
                                _ => {
                                    let mut owned_value =
                                        ::core::default::Default::default();
                                    let value = &mut owned_value;
                                    ::pilota::pb::encoding::message::merge(
                                        wire_type, value, buf, ctx,
                                    )?;
                                    *field = ::core::option::Option::Some(
                                        Change::Placement(owned_value),
                                    );
                                }
                            },
                            _ => unreachable!(
                                concat!("invalid ", stringify!(Change), " tag: {}"),
                                tag
                            ),
                        };
                        ::core::result::Result::Ok(())
                    }
                }
            }
        }
    }
}
